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

/** The watch on the node list, on real connections: lists in any layout, and watches that are closed or fall silent. */
class NodeListWatchTest {
    private static final String PUSHED = Scenario.SETTINGS.replace("on_request", "pushed");
    /** A scheduler must know a change this long after its watch fell silent. */
    private static final double CHANGE_KNOWN_WITHIN_MS = 6_000;

    private static String list(SocketRig rig, int seq, String health) {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + rig.hostEntry(0, health) + "]}";
    }

    private static String indented(String list) {
        return list.replace("{", "\r\n{\n\t")
                .replace(",", " ,\n\n  ")
                .replace("[", "[\n \r\n")
                .replace("}", "\n}");
    }

    /** Waits for the scheduler to open a watch and returns it. */
    private static Peer awaitWatch(SocketRig rig) {
        Peer[] watch = new Peer[1];
        rig.advanceUntil("a watch", 20_000, () -> (watch[0] = rig.discovery.poll()) != null);
        return watch[0];
    }

    private static String changes(int seq, String hosts) {
        return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + hosts + "]}\n";
    }

    /** Sends a readiness check and expects the given status. */
    private static void assertReady(SocketRig rig, int status) throws IOException {
        Peer health = rig.client();
        health.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        health.expect("HTTP/1.1 " + status + " ");
    }

    private static boolean usesItsOnlyNode(SocketRig rig) {
        return rig.core.avoidedNodeCount() == 0 && rig.core.listedNodes() == 1;
    }

    /** Guards lists that are indented, contain blank lines and are split at any byte: each counts only once it is complete. */
    @Test
    void anIndentedListIsReadHoweverItIsSplit() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED);
            String list = indented(list(rig, 2, "up"));
            for (int cut = 1; cut < list.length(); cut++) {
                int expectedLists = cut;
                watch.send(SocketRig.chunk(list.substring(0, cut)));
                rig.turn();
                watch.send(SocketRig.chunk(list.substring(cut) + "\n"));
                rig.turnUntil("list " + cut, () -> rig.counters.get("list.full") == expectedLists);
            }
            watch.send(SocketRig.chunk(list(rig, 3, "up") + list(rig, 4, "up") + "\n\n"));
            rig.turnUntil("two on one line", () -> rig.counters.get("list.full") == list.length() + 1);
            assertThat(rig.counters.get("list.malformed")).isZero();
            watch.send(SocketRig.chunk(list.substring(0, list.length() - 1)));
            watch.close();
            rig.turnUntil("its end", () -> rig.counters.get("list.failed") == 1);
            assertThat(rig.counters.get("list.full"))
                    .as("half an object never counts")
                    .isEqualTo(list.length() + 1);
        }
    }

    /** Guards against malformed lists: the old list stays in use and the watch is reopened. */
    @ParameterizedTest
    @ValueSource(
            strings = {"7\n", "[1]\n", "{\"seq\":1,}\n", "{\"hosts\":[]}\n", "x\n", "{\"seq\":\"a\",\"hosts\":[]}\n"})
    void aMalformedListKeepsTheOldOne(String malformed) throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            watch.send(SocketRig.chunk(malformed));
            rig.turnUntil("its end", () -> rig.counters.get("list.malformed") == 1);
            assertThat(usesItsOnlyNode(rig)).isTrue();
            awaitWatch(rig).expect("since=2");
        }
    }

    /** Guards drains sent to a watch that fell silent: a new watch receives them well within the protocol's time limit. */
    @Test
    void aSilentWatchIsReopenedInTime() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            for (int i = 0; i < 3; i++) {
                rig.advance(2_000);
                watch.send(SocketRig.chunk("\n"));
            }
            rig.turn();
            double silentSinceMs = rig.nowMs;
            Peer reopened = awaitWatch(rig);
            reopened.expect("since=2");
            // The call waits in the service's queue for a second, as long as calls may wait there.
            rig.advance(1_000);
            reopened.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 3, "draining")));
            rig.turnUntil("the drain", () -> rig.counters.get("list.full") == 2);
            assertThat(rig.nowMs - silentSinceMs).isLessThan(CHANGE_KNOWN_WITHIN_MS - 1_000);
            assertThat(rig.counters.get("list.silent")).isEqualTo(1);
        }
    }

    /** Guards a move of discovery while the former watch is silent: the new service is called all the same. */
    @Test
    void discoveryMovesWhileTheFormerWatchIsSilent() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer former = awaitWatch(rig);
            former.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            rig.advance(1_500);
            rig.platform.reload(rig.configWithDiscovery(rig.nodes.get(0).address()));
            Peer newWatch = rig.nodes.get(0).accept();
            newWatch.expect("GET /registry/instances?follow=1 ");
            rig.advance(1_500);
            assertThat(former.isClosed()).as("the silent watch is closed").isTrue();
            newWatch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 1, "draining")));
            rig.turnUntil("the new list", () -> rig.counters.get("list.full") == 2);
            rig.advance(2_000);
            assertThat(rig.discovery.poll())
                    .as("no more calls to the former service")
                    .isNull();
        }
    }

    /** Guards a start with pushed lists: a node that began to drain while no process ran gets none of the first jobs. */
    @Test
    void aNewProcessUsesThePushedListNotItsFile() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            rig.platform.ready();
            Peer early = rig.client();
            early.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            assertReady(rig, 503);
            Peer watch = awaitWatch(rig);
            watch.expect("follow=1 HTTP");
            rig.advance(300);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 9, "draining")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            rig.advance(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to the drained node")
                    .isNull();
            assertReady(rig, 200);
        }
    }

    /** Guards a start while nothing is pushed: after a while the saved list is used, and the process is ready. */
    @Test
    void aNewProcessUsesItsFileIfNothingIsPushed() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            rig.advance(5_200);
            rig.nodes.get(0).accept().expect("POST /route-plan");
            assertReady(rig, 200);
        }
    }

    /** Guards a start with lists on request: a node that began to drain while no process ran gets none of the first jobs. */
    @Test
    void aNewProcessAppliesDiscoverysChangesToItsFile() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 2)) {
            rig.platform.ready();
            assertReady(rig, 503);
            Peer watch = awaitWatch(rig);
            watch.expect("since=1 ");
            rig.advance(900);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.hostEntry(0, "draining"))));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            assertReady(rig, 200);
            rig.client().send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            rig.nodes.get(1).accept().expect("POST /route-plan");
            for (int i = 0; i < 5; i++) {
                rig.client().send(SocketRig.jobRequest("pickup-order", "b" + i, "", "x"));
            }
            rig.advance(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to the drained node")
                    .isNull();
        }
    }

    /** Guards a short restart: clients that have not noticed it are served by the saved list, which is recent enough. */
    @Test
    void jobsSubmittedBeforeReadinessAreServedByTheFile() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            assertReady(rig, 503);
            rig.client().send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            rig.nodes.get(0).accept().expect("POST /route-plan");
            assertReady(rig, 200);
            awaitWatch(rig).expect("since=1 ");
        }
    }

    /** Guards a start while discovery's queue is full: a refused call is repeated, and the saved list is not used meanwhile. */
    @Test
    void aNewProcessAsksAgainAfterA503() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            double startMs = rig.nowMs;
            for (int i = 0; i < 4; i++) {
                Peer turnedAway = awaitWatch(rig);
                turnedAway.expect("GET ");
                turnedAway.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n");
                rig.turn();
            }
            awaitWatch(rig).send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.hostEntry(0, "draining"))));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            assertThat(rig.nowMs - startMs).isLessThan(4 * 750 + 100);
            assertThat(rig.counters.get("list.saved"))
                    .as("lists taken from the file")
                    .isZero();
        }
    }

    /** Guards readiness: a new process starts serving even if discovery is unreachable or never answers. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNewProcessUsesItsFileIfDiscoveryIsUnavailable(boolean refuses) throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            if (refuses) {
                rig.discovery.close();
            }
            rig.platform.ready();
            if (!refuses) {
                rig.advance(4_980);
                assertReady(rig, 503);
            }
            rig.advance(40);
            assertReady(rig, 200);
            rig.client().send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            rig.nodes.get(0).accept().expect("POST /route-plan");
        }
    }

    /** Guards unchanged lists: if the answer holds only an empty line, the saved list is current. */
    @Test
    void anEmptyLineMeansTheFilesListIsCurrent() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            awaitWatch(rig).send(SocketRig.CHUNKED + SocketRig.chunk("\n"));
            rig.advance(200);
            assertReady(rig, 503); // changes may still follow the empty line
            rig.advance(100);
            assertReady(rig, 200);
            assertThat(rig.core.listedNodes()).isEqualTo(1);
        }
    }

    /**
     * Guards the protocol's time limit: after any outage of some seconds, a drain is known well within 6 s of discovery's
     * return. Connections from before the return stay silent, and calls are answered a second late.
     */
    @ParameterizedTest
    @CsvSource({"SILENT", "TURNED_AWAY", "RESET"})
    void aChangeIsKnownInTimeAfterAnyOutage(Outage outage) throws IOException {
        for (int lastsMs = 0; lastsMs <= 9_000; lastsMs += 450) {
            try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
                Peer first = awaitWatch(rig);
                first.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
                rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
                if (outage != Outage.SILENT) {
                    first.reset();
                }
                for (double end = rig.nowMs + lastsMs; rig.nowMs < end; rig.advance(2)) {
                    outage.handle(rig.discovery.poll());
                }
                double restoredAtMs = rig.nowMs;
                Peer watch = awaitWatch(rig);
                rig.advance(1_000);
                watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 3, "draining")));
                rig.turnUntil("the drain", () -> rig.counters.get("list.full") == 2);
                assertThat(rig.nowMs - restoredAtMs)
                        .as("after " + lastsMs + " ms of " + outage)
                        .isLessThan(CHANGE_KNOWN_WITHIN_MS - 1_000);
            }
        }
    }

    /** How discovery treats calls during an outage. */
    enum Outage {
        SILENT,
        TURNED_AWAY,
        RESET;

        void handle(Peer caller) throws IOException {
            if (caller != null && this == TURNED_AWAY) {
                caller.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n");
            } else if (caller != null && this == RESET) {
                caller.reset();
            }
        }
    }

    /** Guards a place in discovery's queue: a late answer is used, although a second call has been opened. */
    @Test
    void aLateAnswerToTheFirstCallIsUsed() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer first = awaitWatch(rig);
            rig.advance(3_100);
            Peer second = awaitWatch(rig);
            assertThat(first.isClosed()).isFalse();
            first.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            rig.turnUntil("the second call's end", second::isClosed);
            assertThat(rig.counters.get("list.failed")).isZero();
        }
    }

    /** Guards against a discovery service that restarts its numbering: changes below the known version are not applied. */
    @Test
    void aVersionThatWentBackCausesAWholeListRequest() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            Peer before = awaitWatch(rig);
            before.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 9, "draining")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            before.reset();
            Peer restarted = awaitWatch(rig);
            restarted.expect("since=9 ");
            restarted.send(SocketRig.CHUNKED + SocketRig.chunk(changes(2, rig.hostEntry(0, "up"))));
            awaitWatch(rig).expect("follow=1 HTTP");
            assertThat(rig.counters.get("list.incremental")).isZero();
        }
    }

    /** Guards against missed changes: a node that the next whole list omits is removed and gets no more jobs. */
    @Test
    void aNodeMissingFromAWholeListIsRemoved() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 2)) {
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 5, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            assertThat(rig.core.listedNodes()).isEqualTo(1);
            for (int i = 0; i < 4; i++) {
                rig.client().send(SocketRig.jobRequest("pickup-order", "a" + i, "", "x"));
            }
            rig.advance(500);
            assertThat(rig.nodes.get(1).poll())
                    .as("a connection to the removed node")
                    .isNull();
        }
    }

    /** Guards large lists: a whole, indented list of 17,000 nodes is read. */
    @Test
    void aListOfSeventeenThousandNodesIsRead() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(Scenario.SETTINGS, 1)) {
            StringBuilder hosts = new StringBuilder();
            for (int i = 0; i < 17_000; i++) {
                hosts.append(i > 0 ? "," : "").append(rig.hostEntry(0, "up").replace("node0", "node" + i));
            }
            awaitWatch(rig)
                    .send(SocketRig.CHUNKED
                            + SocketRig.chunk(indented("{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            assertThat(rig.core.listedNodes()).isEqualTo(17_000);
        }
    }

    /** Guards a start while the agent that pushes lists refuses connections: the changes that it knows count all the same. */
    @Test
    void aProcessWithAnUnreachableAgentWaitsBeforeUsingItsFile() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            rig.discovery.close();
            rig.platform.ready();
            rig.advance(4_900);
            assertReady(rig, 503);
            rig.advance(200);
            assertReady(rig, 200);
        }
    }

    /** Guards discovery's queue: many schedulers that start together spread their first calls, a single one calls at once. */
    @Test
    void firstCallsAreSpreadByTheNumberOfSchedulers() throws IOException {
        String largeFleet = Scenario.SETTINGS.replace("\"balancers\":1,", "\"balancers\":100,");
        for (String settings : List.of(Scenario.SETTINGS, largeFleet)) {
            try (SocketRig rig = SocketRig.withoutDiscovery(settings, 1)) {
                double startMs = rig.nowMs;
                awaitWatch(rig);
                if (settings.equals(largeFleet)) {
                    assertThat(rig.nowMs - startMs)
                            .as("a random delay from the seed")
                            .isBetween(100.0, 99 * 30.0 + 10);
                } else {
                    assertThat(rig.nowMs - startMs).isLessThanOrEqualTo(10);
                }
            }
        }
    }

    /** Guards drains with pushed lists: a closed watch is reopened before a drain would count. */
    @Test
    void aClosedWatchOnAPushedListIsReopenedAtOnce() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            for (int i = 0; i < 5; i++) {
                watch.reset();
                double closedAtMs = rig.nowMs;
                watch = awaitWatch(rig);
                assertThat(rig.nowMs - closedAtMs)
                        .as("the time without a watch")
                        .isLessThan(200);
                rig.turn();
            }
        }
    }

    /** Guards operators' calls at a start: a node of the saved list can be taken offline before a list has been pushed. */
    @Test
    void aNodeOfTheFileCanBeTakenOfflineBeforeTheListIsPushed() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            assertThat(rig.core.offline("node0")).isEqualTo(Bans.BanResult.CHANGED);
            assertThat(rig.core.offline("node9")).isEqualTo(Bans.BanResult.UNKNOWN);
            Peer watch = awaitWatch(rig);
            watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, 2, "up")));
            rig.turnUntil("the list", () -> rig.counters.get("list.full") == 1);
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            rig.advance(500);
            assertThat(rig.nodes.get(0).poll())
                    .as("a connection to the offline node")
                    .isNull();
            assertThat(rig.core.online("node0")).isEqualTo(Bans.BanResult.CHANGED);
            rig.nodes.get(0).accept().expect("POST /route-plan");
        }
    }

    /** Guards the log: a service that is down is called ten times a second, and logged once until it has answered. */
    @Test
    void anUnavailableServiceIsLoggedOnce() throws IOException {
        try (SocketRig rig = SocketRig.withoutDiscovery(PUSHED, 1)) {
            for (int round = 1; round <= 2; round++) {
                for (int i = 0; i < 10; i++) {
                    awaitWatch(rig).reset();
                    rig.turn();
                }
                assertThat(rig.log)
                        .filteredOn(line -> line.contains("connection ended"))
                        .hasSize(round);
                Peer watch = awaitWatch(rig);
                watch.send(SocketRig.CHUNKED + SocketRig.chunk(list(rig, round, "up")));
                int currentRound = round;
                rig.turnUntil("the list", () -> rig.counters.get("list.full") == currentRound);
                watch.reset();
                rig.turn();
            }
        }
    }
}
