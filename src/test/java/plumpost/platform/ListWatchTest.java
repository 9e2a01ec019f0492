package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;
import plumpost.dispatch.Bans;

/** The node list's watch on real connections: lists however they are written, and watches that end or fall silent. */
class ListWatchTest {
    private static final String PUSHED = Scenario.SETTINGS.replace("on_request", "pushed");
    /** What a silent watch misses counts as told so long after it fell silent. */
    private static final double TOLD_MS = 6_000;

    private static String list(SocketRig rig, int seq, String health) {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + rig.host(0, health) + "]}";
    }

    private static String indented(String list) {
        return list.replace("{", "\r\n{\n\t")
                .replace(",", " ,\n\n  ")
                .replace("[", "[\n \r\n")
                .replace("}", "\n}");
    }

    /** The watch as the scheduler opens it. */
    private static Peer watch(SocketRig rig) {
        Peer[] watch = new Peer[1];
        rig.passUntil("a watch", 20_000, () -> (watch[0] = rig.discovery.poll()) != null);
        return watch[0];
    }

    private static String changes(int seq, String hosts) {
        return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + hosts + "]}\n";
    }

    /** Asks whether the process is ready, and expects a status. */
    private static void assertReady(SocketRig rig, int status) throws IOException {
        Peer health = rig.client();
        health.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        health.expect("HTTP/1.1 " + status + " ");
    }

    private static boolean serves(SocketRig rig) {
        return rig.room.avoided() == 0 && rig.room.listedNodes() == 1;
    }

    /** Guards lists that come indented, with blank lines, cut at any byte: each counts once it is whole, none before. */
    @Test
    void anIndentedListIsReadWhereverItIsCut() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED);
            String list = indented(list(rig, 2, "up"));
            for (int cut = 1; cut < list.length(); cut++) {
                int before = cut;
                watch.send(SocketRig.chunk(list.substring(0, cut)));
                rig.turn();
                watch.send(SocketRig.chunk(list.substring(cut) + "\n"));
                rig.until("list " + cut, () -> rig.counters.of("list.full") == before);
            }
            watch.send(SocketRig.chunk(list(rig, 3, "up") + list(rig, 4, "up") + "\n\n"));
            rig.until("two on one line", () -> rig.counters.of("list.full") == list.length() + 1);
            assertThat(rig.counters.of("list.malformed")).isZero();
            watch.send(SocketRig.chunk(list.substring(0, list.length() - 1)));
            watch.close();
            rig.until("its end", () -> rig.counters.of("list.failed") == 1);
            assertThat(rig.counters.of("list.full"))
                    .as("half an object never counts")
                    .isEqualTo(list.length() + 1);
        }
    }

    /** Guards against what is no list: the old one stays, the watch is opened anew, nothing open is lost. */
    @ParameterizedTest
    @ValueSource(
            strings = {"7\n", "[1]\n", "{\"seq\":1,}\n", "{\"hosts\":[]}\n", "x\n", "{\"seq\":\"a\",\"hosts\":[]}\n"})
    void aMalformedListLeavesTheOldOne(String bad) throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            watch.send(SocketRig.chunk(bad));
            rig.until("its end", () -> rig.counters.of("list.malformed") == 1);
            assertThat(serves(rig)).isTrue();
            watch(rig).expect("since=2");
        }
    }

    /** Guards drains told to a watch that fell silent: a new one hears of them well before they count as told. */
    @Test
    void aSilentWatchIsOpenedAnewInTime() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            for (int i = 0; i < 3; i++) {
                rig.pass(2_000);
                watch.send(SocketRig.chunk("\n"));
            }
            rig.turn();
            double silent = rig.now;
            Peer anew = watch(rig);
            anew.expect("since=2");
            // The call stands in the service's line for a second, as long as calls there may take.
            rig.pass(1_000);
            anew.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 3, "draining")));
            rig.until("the drain", () -> rig.counters.of("list.full") == 2);
            assertThat(rig.now - silent).isLessThan(TOLD_MS - 1_000);
            assertThat(rig.counters.of("list.silent")).isEqualTo(1);
        }
    }

    /** Guards a move of discovery while the former watch is the silent one: the new one is asked all the same. */
    @Test
    void aMoveWhileTheFormerWatchIsSilent() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer former = watch(rig);
            former.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            rig.pass(1_500);
            rig.platform.reload(rig.config(rig.nodes.get(0).address()));
            Peer anew = rig.nodes.get(0).accept();
            anew.expect("GET /registry/instances?follow=1 ");
            rig.pass(1_500);
            assertThat(former.over()).as("the silent one is let go").isTrue();
            anew.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 1, "draining")));
            rig.until("the new list", () -> rig.counters.of("list.full") == 2);
            rig.pass(2_000);
            assertThat(rig.discovery.poll())
                    .as("the former service is asked no more")
                    .isNull();
        }
    }

    /** Guards a start where lists are pushed: what drained while nobody listened gets nothing of the first jobs. */
    @Test
    void aNewProcessServesByWhatIsPushedAndNotByItsFile() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            rig.platform.ready();
            Peer early = rig.client();
            early.send(SocketRig.job("route-plan", "a", "", "x"));
            assertReady(rig, 503);
            Peer watch = watch(rig);
            watch.expect("follow=1 HTTP");
            rig.pass(300);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 9, "draining")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            rig.pass(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to the drained node")
                    .isNull();
            assertReady(rig, 200);
        }
    }

    /** Guards a start while nothing is pushed: after a while the list of the file serves, and the process is ready. */
    @Test
    void aNewProcessServesByItsFileWhereNothingIsPushed() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            rig.pass(5_200);
            rig.nodes.get(0).accept().expect("POST /route-plan");
            assertReady(rig, 200);
        }
    }

    /** Guards a start where lists are asked for: what left while no process ran gets nothing of the first jobs. */
    @Test
    void aNewProcessServesByDiscoverysChangesAndNotByItsFile() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 2)) {
            rig.platform.ready();
            assertReady(rig, 503);
            Peer watch = watch(rig);
            watch.expect("since=1 ");
            rig.pass(900);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.host(0, "draining"))));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            assertReady(rig, 200);
            rig.client().send(SocketRig.job("route-plan", "a", "", "x"));
            rig.nodes.get(1).accept().expect("POST /route-plan");
            for (int i = 0; i < 5; i++) {
                rig.client().send(SocketRig.job("pickup-order", "b" + i, "", "x"));
            }
            rig.pass(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to the drained node")
                    .isNull();
        }
    }

    /** Guards a short restart: clients that have not noticed it are served by the file, which is as young as that. */
    @Test
    void whoComesBeforeTheProcessIsReadyIsServedByTheFile() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            assertReady(rig, 503);
            rig.client().send(SocketRig.job("route-plan", "a", "", "x"));
            rig.nodes.get(0).accept().expect("POST /route-plan");
            assertReady(rig, 200);
            watch(rig).expect("since=1 ");
        }
    }

    /** Guards a start at a full queue: a call that is turned away is made again, and the file does not serve meanwhile. */
    @Test
    void aNewProcessThatIsTurnedAwayAsksAgain() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            double start = rig.now;
            for (int i = 0; i < 4; i++) {
                Peer turnedAway = watch(rig);
                turnedAway.expect("GET ");
                turnedAway.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n");
                rig.turn();
            }
            watch(rig).send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.host(0, "draining"))));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            assertThat(rig.now - start).isLessThan(4 * 750 + 100);
            assertThat(rig.counters.of("list.saved"))
                    .as("lists taken from the file")
                    .isZero();
        }
    }

    /** Guards readiness: discovery that cannot be reached, or says nothing, does not keep a new process from serving. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNewProcessServesByItsFileWhereDiscoveryIsAway(boolean refuses) throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            if (refuses) {
                rig.discovery.close();
            }
            rig.platform.ready();
            if (!refuses) {
                rig.pass(4_980);
                assertReady(rig, 503);
            }
            rig.pass(40);
            assertReady(rig, 200);
            rig.client().send(SocketRig.job("route-plan", "a", "", "x"));
            rig.nodes.get(0).accept().expect("POST /route-plan");
        }
    }

    /** Guards lists that have not changed: where an empty line is all that comes, the file's list is the one of now. */
    @Test
    void anEmptyLineSaysThatTheFilesListStillHolds() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            watch(rig).send(SocketRig.CHUNKED + SocketRig.chunk("\n"));
            rig.pass(200);
            assertReady(rig, 503); // changes may still follow the empty line
            rig.pass(100);
            assertReady(rig, 200);
            assertThat(rig.room.listedNodes()).isEqualTo(1);
        }
    }

    /**
     * Guards the protocol's bound: whatever discovery does for some seconds, a drain is known well within 6 s of its
     * return. Connections from before the return stay silent for ever; calls are answered a second late.
     */
    @ParameterizedTest
    @CsvSource({"SILENT", "TURNED_AWAY", "RESET"})
    void aChangeIsKnownInTimeWheneverDiscoveryReturns(Outage outage) throws IOException {
        for (int lastsMs = 0; lastsMs <= 9_000; lastsMs += 450) {
            try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
                Peer first = watch(rig);
                first.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
                rig.until("the list", () -> rig.counters.of("list.full") == 1);
                if (outage != Outage.SILENT) {
                    first.reset();
                }
                for (double end = rig.now + lastsMs; rig.now < end; rig.pass(2)) {
                    outage.meets(rig.discovery.poll());
                }
                double back = rig.now;
                Peer heard = watch(rig);
                rig.pass(1_000);
                heard.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 3, "draining")));
                rig.until("the drain", () -> rig.counters.of("list.full") == 2);
                assertThat(rig.now - back)
                        .as("after " + lastsMs + " ms of " + outage)
                        .isLessThan(TOLD_MS - 1_000);
            }
        }
    }

    /** What callers meet while discovery is away. */
    enum Outage {
        SILENT,
        TURNED_AWAY,
        RESET;

        void meets(Peer caller) throws IOException {
            if (caller != null && this == TURNED_AWAY) {
                caller.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n");
            } else if (caller != null && this == RESET) {
                caller.reset();
            }
        }
    }

    /** Guards a place in discovery's queue: a late answer still counts, though a second call was opened beside it. */
    @Test
    void aCallThatIsAnsweredLateKeepsItsPlaceInTheQueue() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer first = watch(rig);
            rig.pass(3_100);
            Peer second = watch(rig);
            assertThat(first.over()).isFalse();
            first.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            rig.until("the second call's end", second::over);
            assertThat(rig.counters.of("list.failed")).isZero();
        }
    }

    /** Guards a discovery that counts anew after its own restart: changes below our version are not taken, the whole is. */
    @Test
    void aVersionThatWentBackIsAnsweredByAskingForTheWholeList() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            Peer before = watch(rig);
            before.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 9, "draining")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            before.reset();
            Peer restarted = watch(rig);
            restarted.expect("since=9 ");
            restarted.send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.host(0, "up"))));
            watch(rig).expect("follow=1 HTTP");
            assertThat(rig.counters.of("list.incremental")).isZero();
        }
    }

    /** Guards against a gap: a node that the next whole list no longer names is gone, and gets nothing more. */
    @Test
    void aNodeThatAWholeListNoLongerNamesIsGone() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 2)) {
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 5, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            assertThat(rig.room.listedNodes()).isEqualTo(1);
            for (int i = 0; i < 4; i++) {
                rig.client().send(SocketRig.job("pickup-order", "a" + i, "", "x"));
            }
            rig.pass(500);
            assertThat(rig.nodes.get(1).poll())
                    .as("a connection to what is gone")
                    .isNull();
        }
    }

    /** Guards large fleets: a whole, indented list of 17,000 nodes is read. */
    @Test
    void aListOfSeventeenThousandNodesIsRead() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(Scenario.SETTINGS, 1)) {
            StringBuilder hosts = new StringBuilder();
            for (int i = 0; i < 17_000; i++) {
                hosts.append(i > 0 ? "," : "").append(rig.host(0, "up").replace("node0", "node" + i));
            }
            watch(rig)
                    .send(SocketRig.CHUNKED
                            + SocketRig.chunk(indented("{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            assertThat(rig.room.listedNodes()).isEqualTo(17_000);
        }
    }

    /** Guards a start while the agent that pushes lists refuses connections: what it has counts all the same. */
    @Test
    void aProcessWhoseAgentRefusesConnectionsDoesNotServeByItsFileAtOnce() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            rig.discovery.close();
            rig.platform.ready();
            rig.pass(4_900);
            assertReady(rig, 503);
            rig.pass(200);
            assertReady(rig, 200);
        }
    }

    /** Guards discovery's queue: after a common start the first calls of a large fleet come spread, a lone one at once. */
    @Test
    void firstCallsAreSpreadByTheFleetsSize() throws IOException {
        String largeFleet = Scenario.SETTINGS.replace("\"balancers\":1,", "\"balancers\":100,");
        for (String settings : List.of(Scenario.SETTINGS, largeFleet)) {
            try (SocketRig rig = SocketRig.unanswered(settings, 1)) {
                double start = rig.now;
                watch(rig);
                if (settings.equals(largeFleet)) {
                    assertThat(rig.now - start).as("a draw from the seed").isBetween(100.0, 99 * 30.0 + 10);
                } else {
                    assertThat(rig.now - start).isLessThanOrEqualTo(10);
                }
            }
        }
    }

    /** Guards drains where lists are pushed: a watch that ends is open again within the time that a drain leaves. */
    @Test
    void aPushedListIsWatchedAgainAtOnce() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            for (int i = 0; i < 5; i++) {
                watch.reset();
                double from = rig.now;
                watch = watch(rig);
                assertThat(rig.now - from).as("nobody listens").isLessThan(200);
                rig.turn();
            }
        }
    }

    /** Guards operators' calls at a start: what the file names may be taken out before the pushed list has come. */
    @Test
    void aNodeOfTheFileMayBeTakenOutBeforeTheListIsPushed() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            assertThat(rig.room.offline("node0")).isEqualTo(Bans.Said.CHANGED);
            assertThat(rig.room.offline("node9")).isEqualTo(Bans.Said.UNKNOWN);
            Peer watch = watch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.until("the list", () -> rig.counters.of("list.full") == 1);
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            rig.pass(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to what was taken out")
                    .isNull();
            assertThat(rig.room.online("node0")).isEqualTo(Bans.Said.CHANGED);
            rig.nodes.get(0).accept().expect("POST /route-plan");
        }
    }

    /** Guards the log: a service that is down is asked ten times a second, and told of once until it has answered. */
    @Test
    void aServiceThatIsDownIsLoggedOnce() throws IOException {
        try (SocketRig rig = SocketRig.unanswered(PUSHED, 1)) {
            for (int round = 1; round <= 2; round++) {
                for (int i = 0; i < 10; i++) {
                    watch(rig).reset();
                    rig.turn();
                }
                assertThat(rig.log)
                        .filteredOn(l -> l.contains("connection ended"))
                        .hasSize(round);
                Peer watch = watch(rig);
                watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, round, "up")));
                int now = round;
                rig.until("the list", () -> rig.counters.of("list.full") == now);
                watch.reset();
                rig.turn();
            }
        }
    }
}
