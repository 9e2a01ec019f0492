package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;
import plumpost.config.Json;
import plumpost.config.SettingsReader;

/** Attempts that end, answers that come late or wrong, and when a job may go again, on real connections. */
class RetriesTest {
    private static final double WINDOW_MS = 900;
    /** Repeats of the order are dropped by the nodes of a group, for a time. */
    private static final String GUARDED = Scenario.SETTINGS.replace(
            "\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyScope\":\"all\",\"windowMs\":900.0");

    private static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    private static Peer order(SocketRig rig, Peer client, String id) {
        client.send(SocketRig.job("pickup-order", id, "", "towels"));
        return whole(rig, rig.nodes.get(0).accept());
    }

    /** The next connection to any node, within some time. */
    private static Peer again(SocketRig rig) {
        Peer[] next = new Peer[1];
        rig.passUntil(
                "another attempt",
                3_000,
                () -> rig.nodes.stream().anyMatch(n -> next[0] == null && (next[0] = n.poll()) != null));
        return next[0];
    }

    private static Peer whole(SocketRig rig, Peer node) {
        rig.passUntil("the order's last byte", 50, () -> node.text().endsWith("towels"));
        return node;
    }

    /** Guards classes that may be repeated for a while: the core's own guard held each second attempt back. */
    @Test
    void aGuardedJobGoesAgainWithinItsWindow() throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED, 2)) {
            Peer client = rig.client();
            client.send(SocketRig.job("pickup-order", "a", "", "towels"));
            whole(rig, again(rig)).reset();
            whole(rig, again(rig)).send(SocketRig.done("a"));
            client.expect("r-a");
            assertThat(rig.counters.of("guard.repeat")).isZero();
        }
    }

    /** Guards the window's end while a repeat is under way: all but the last byte is written, and that never follows. */
    @Test
    void theWindowEndsBeforeTheLastByteOfARepeat() throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED, 2)) {
            Peer client = rig.client();
            client.send(SocketRig.job("pickup-order", "a", "", "towels"));
            double sent = rig.now;
            Peer first = whole(rig, again(rig));
            rig.pass(sent + WINDOW_MS - 4 - rig.now);
            first.reset();
            Peer second = again(rig);
            second.expect("towel");
            assertThat(rig.now).isLessThan(sent + WINDOW_MS);
            rig.pass(20);
            rig.until("its end", second::over);
            assertThat(second.text()).isEmpty();
            client.expect("500 Internal");
        }
    }

    /** Guards the window's end while a job waits for a node: it is given up at once and not at its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"all", "cell"})
    void theWindowEndsWhileARepeatWaits(String scope) throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED.replace("\"all\"", "\"" + scope + "\""), 2)) {
            String other = rig.host(1, scope.equals("all") ? "draining" : "up").replace("\"block\":0", "\"block\":1");
            rig.platform.told("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.host(0, "up") + "]}");
            Peer client = rig.client();
            Peer first = order(rig, client, "a");
            double sent = rig.now;
            rig.platform.told("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.host(0, "draining") + "," + other + "]}");
            first.reset();
            rig.until("its end", () -> rig.counters.of("attempts.reset") == 1);
            rig.pass(WINDOW_MS - (rig.now - sent) - 20);
            assertThat(client.text()).as("it still waits").isEmpty();
            rig.pass(40);
            client.expect("500 Internal");
            assertThat(rig.nodes.get(1).poll()).as("outside the group").isNull();
        }
    }

    /** Guards kept connections: a late second answer that names no job must not leave the running one behind there. */
    @Test
    void aLateSecondAnswerEndsItsConnection() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.done("a"));
            client.expect("r-a");
            client.send(SocketRig.job("route-plan", "b", "", "x"));
            node.expect("X-Txn: b");
            node.send(TURNED_AWAY); // to the first job, which was answered already
            rig.until("the end of a connection on which b may run", node::over);
            Peer anew = again(rig);
            anew.expect("X-Txn: b");
            anew.send(SocketRig.done("b"));
            client.expect("r-b");
        }
    }

    /** Guards a node against blame for what went before: lines about the last job on a kept connection are no error. */
    @Test
    void aLateSecondAnswerIsNoErrorOfTheNode() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.done("a"));
            client.expect("r-a");
            client.send(SocketRig.job("route-plan", "b", "", "x"));
            node.expect("X-Txn: b");
            node.send(SocketRig.done("a"));
            rig.until("the attempt ends", () -> rig.counters.of("attempts.reset") == 1);
            assertThat(rig.room.avoided()).isZero();
            again(rig).expect("X-Txn: b");
        }
    }

    /** Guards places against answers that never end: their jobs were answered, their connections stayed for good. */
    @Test
    void anAnswerWithoutAnEndHoldsNoPlace() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.CHUNKED + SocketRig.chunk(SocketRig.line("a", "r-a")) + "ff\r\n{");
            client.expect("r-a");
            rig.passUntil("its connection ends", 400, node::over);
            assertThat(rig.counters.of("nodes.unended")).isEqualTo(1);
        }
    }

    /** Guards orders against an answer that comes before they are whole: it is none, and they have not run. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerBeforeTheOrderIsWholeIsNone(boolean served) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("pickup-order", "a", "", "towels"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towel");
            node.send(served ? SocketRig.done("a") : TURNED_AWAY);
            rig.until("the attempt ends", () -> rig.counters.of("attempts.connect_failed") == 1);
            rig.until("and its connection", node::over);
            assertThat(node.text()).as("the last byte").isEmpty();
            whole(rig, again(rig)).send(SocketRig.done("a"));
            client.expect("r-a");
        }
    }

    /** Guards kept connections after SIGHUP: they idle no longer than the settings in force let them. */
    @Test
    void idleConnectionsFollowTheSettingsInForce() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.room.retune(SettingsReader.settings(Json.object(
                    "settings",
                    Scenario.SETTINGS
                            .replace("\"keepaliveMs\":5000.0", "\"keepaliveMs\":800.0")
                            .getBytes(StandardCharsets.UTF_8))));
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.done("a"));
            client.expect("r-a");
            rig.pass(300);
            assertThat(node.over()).isFalse();
            rig.pass(150);
            rig.until("retired before the node closes it", node::over);
        }
    }

    /** Guards a job that goes to the same node again: what comes late of its first try is no word on its second. */
    @Test
    void aLateSecondAnswerToTheSameJobIsNotTakenForItsNextTry() throws IOException {
        String returned = SocketRig.CHUNKED + SocketRig.chunk("{\"id\":\"a\",\"state\":\"returned\"}\n") + "0\r\n\r\n";
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(returned);
            Peer anew = again(rig);
            anew.expect("X-Txn: a");
            node.send(returned); // once more, some milliseconds late
            rig.pass(100);
            assertThat(rig.counters.of("attempts.out"))
                    .as("beside the one that runs")
                    .isEqualTo(2);
            anew.send(SocketRig.done("a"));
            client.expect("r-a");
        }
    }

    /** Guards a job that may be repeated against an error answer whose end never comes: it goes again. */
    @Test
    void anErrorThatNeverEndsHoldsNoJob() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send("HTTP/1.1 500 Oops\r\nContent-Length: 100\r\n\r\nhalf");
            Peer anew = again(rig);
            assertThat(node.over()).as("the first try is given up").isTrue();
            anew.expect("X-Txn: a");
            anew.send(SocketRig.done("a"));
            client.expect("r-a");
        }
    }

    /** Guards other customers' settings: how long a node may be silent follows what they say of connections, if they do. */
    @ParameterizedTest
    @CsvSource({"100.0,300", "250.0,600", "0.0,600"})
    void aNodeThatTakesNothingIsLeftByTheSettings(String dial, double limit) throws IOException {
        try (SocketRig rig =
                new SocketRig(Scenario.SETTINGS.replace("\"dialTimeoutMs\":250.0", "\"dialTimeoutMs\":" + dial), 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            rig.pass(limit - 20);
            assertThat(node.over()).isFalse();
            rig.pass(40);
            rig.until("it is given up", node::over);
            again(rig).expect("X-Txn: a");
        }
    }

    /** Guards the loop: a connection that comes up after its node was told to drain is ended, and that is no fault. */
    @Test
    void aConnectionThatIsOfNoUseOnceItIsUpIsNoFault() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("pickup-order", "a", "", "towels"));
            rig.until("an attempt", () -> rig.counters.of("attempts.out") == 1);
            rig.platform.told("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.host(0, "draining") + "]}");
            rig.until("its end", () -> rig.counters.of("attempts.connect_failed") == 1);
            assertThat(rig.counters.of("net.fault")).as(rig.log.toString()).isZero();
        }
    }
}
