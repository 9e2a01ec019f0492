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

/** Failed attempts, late or wrong answers, and when a job may be retried, on real connections. */
class RetriesTest {
    private static final double WINDOW_MS = 900;
    /** Settings in which all nodes drop repeats of an order for {@link #WINDOW_MS}. */
    private static final String GUARDED = Scenario.SETTINGS.replace(
            "\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyScope\":\"all\",\"windowMs\":900.0");

    private static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    private static Peer submitOrder(SocketRig rig, Peer client, String id) {
        client.send(SocketRig.jobRequest("pickup-order", id, "", "towels"));
        return awaitWholeOrder(rig, rig.nodes.get(0).accept());
    }

    /** Waits for the next connection to any node and returns it. */
    private static Peer awaitNextAttempt(SocketRig rig) {
        Peer[] next = new Peer[1];
        rig.advanceUntil(
                "another attempt",
                3_000,
                () -> rig.nodes.stream().anyMatch(node -> next[0] == null && (next[0] = node.poll()) != null));
        return next[0];
    }

    private static Peer awaitWholeOrder(SocketRig rig, Peer node) {
        rig.advanceUntil("the order's last byte", 50, () -> node.text().endsWith("towels"));
        return node;
    }

    /** Guards classes that may be repeated within a window: the core's own guard once held back every second attempt. */
    @Test
    void aGuardedJobIsRetriedWithinItsWindow() throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED, 2)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "towels"));
            awaitWholeOrder(rig, awaitNextAttempt(rig)).reset();
            awaitWholeOrder(rig, awaitNextAttempt(rig)).send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
            assertThat(rig.counters.get("guard.repeat")).isZero();
        }
    }

    /** Guards the end of the window during a repeat: if it ends before the last byte is written, that byte never is. */
    @Test
    void theWindowEndsBeforeTheLastByteOfARepeat() throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED, 2)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "towels"));
            double sentAtMs = rig.nowMs;
            Peer first = awaitWholeOrder(rig, awaitNextAttempt(rig));
            rig.advance(sentAtMs + WINDOW_MS - 4 - rig.nowMs);
            first.reset();
            Peer second = awaitNextAttempt(rig);
            second.expect("towel");
            assertThat(rig.nowMs).isLessThan(sentAtMs + WINDOW_MS);
            rig.advance(20);
            rig.turnUntil("its end", second::isClosed);
            assertThat(second.text()).isEmpty();
            client.expect("500 Internal");
        }
    }

    /** Guards the end of the window while a job waits for a node: the job fails at once and not at its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"all", "cell"})
    void theWindowEndsWhileARepeatWaits(String scope) throws IOException {
        try (SocketRig rig = new SocketRig(GUARDED.replace("\"all\"", "\"" + scope + "\""), 2)) {
            String other =
                    rig.hostEntry(1, scope.equals("all") ? "draining" : "up").replace("\"block\":0", "\"block\":1");
            rig.platform.applyFleetLine("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "up") + "]}");
            Peer client = rig.client();
            Peer first = submitOrder(rig, client, "a");
            double sentAtMs = rig.nowMs;
            rig.platform.applyFleetLine(
                    "{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "draining") + "," + other + "]}");
            first.reset();
            rig.turnUntil("its end", () -> rig.counters.get("attempts.reset") == 1);
            rig.advance(WINDOW_MS - (rig.nowMs - sentAtMs) - 20);
            assertThat(client.text()).as("it still waits").isEmpty();
            rig.advance(40);
            client.expect("500 Internal");
            assertThat(rig.nodes.get(1).poll()).as("outside the group").isNull();
        }
    }

    /** Guards reused connections: after a late second answer that names no job, the connection is closed and the job retried. */
    @Test
    void aLateSecondAnswerClosesItsConnection() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
            client.send(SocketRig.jobRequest("route-plan", "b", "", "x"));
            node.expect("X-Txn: b");
            node.send(TURNED_AWAY); // to the first job, which was answered already
            rig.turnUntil("the end of a connection on which b may run", node::isClosed);
            Peer retry = awaitNextAttempt(rig);
            retry.expect("X-Txn: b");
            retry.send(SocketRig.doneAnswer("b"));
            client.expect("r-b");
        }
    }

    /** Guards a node's health: lines about the previous job on a reused connection do not count as its error. */
    @Test
    void aLateSecondAnswerIsNotCountedAsANodeError() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
            client.send(SocketRig.jobRequest("route-plan", "b", "", "x"));
            node.expect("X-Txn: b");
            node.send(SocketRig.doneAnswer("a"));
            rig.turnUntil("the attempt ends", () -> rig.counters.get("attempts.reset") == 1);
            assertThat(rig.core.avoidedNodeCount()).isZero();
            awaitNextAttempt(rig).expect("X-Txn: b");
        }
    }

    /** Guards connections against answers that never end: the job is answered, and its connection is closed. */
    @Test
    void anUnterminatedAnswerReleasesItsConnection() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.CHUNKED + SocketRig.chunk(SocketRig.doneLine("a", "r-a")) + "ff\r\n{");
            client.expect("r-a");
            rig.advanceUntil("its connection ends", 400, node::isClosed);
            assertThat(rig.counters.get("nodes.unended")).isEqualTo(1);
        }
    }

    /** Guards orders against an answer before their last byte is written: it does not count, and the order is retried. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerBeforeTheOrderIsCompleteIsIgnored(boolean served) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "towels"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towel");
            node.send(served ? SocketRig.doneAnswer("a") : TURNED_AWAY);
            rig.turnUntil("the attempt ends", () -> rig.counters.get("attempts.connect_failed") == 1);
            rig.turnUntil("and its connection", node::isClosed);
            assertThat(node.text()).as("the last byte").isEmpty();
            awaitWholeOrder(rig, awaitNextAttempt(rig)).send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
        }
    }

    /** Guards idle connections after SIGHUP: they follow the keep-alive time of the current settings. */
    @Test
    void idleConnectionsFollowTheSettingsInForce() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.core.retune(SettingsReader.settings(Json.object(
                    "settings",
                    Scenario.SETTINGS
                            .replace("\"keepaliveMs\":5000.0", "\"keepaliveMs\":800.0")
                            .getBytes(StandardCharsets.UTF_8))));
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
            rig.advance(300);
            assertThat(node.isClosed()).isFalse();
            rig.advance(150);
            rig.turnUntil("retired before the node closes it", node::isClosed);
        }
    }

    /** Guards a job retried on the same node: a late second answer to the first attempt is not attributed to the second. */
    @Test
    void aLateSecondAnswerIsNotAttributedToTheNextAttempt() throws IOException {
        String returned = SocketRig.CHUNKED + SocketRig.chunk("{\"id\":\"a\",\"state\":\"returned\"}\n") + "0\r\n\r\n";
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send(returned);
            Peer retry = awaitNextAttempt(rig);
            retry.expect("X-Txn: a");
            node.send(returned); // once more, some milliseconds late
            rig.advance(100);
            assertThat(rig.counters.get("attempts.out"))
                    .as("beside the one that runs")
                    .isEqualTo(2);
            retry.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
        }
    }

    /** Guards a repeatable job against an error answer that never ends: it is retried. */
    @Test
    void aJobIsRetriedAfterAnUnterminatedErrorAnswer() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            node.send("HTTP/1.1 500 Oops\r\nContent-Length: 100\r\n\r\nhalf");
            Peer retry = awaitNextAttempt(rig);
            assertThat(node.isClosed()).as("the first try is given up").isTrue();
            retry.expect("X-Txn: a");
            retry.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
        }
    }

    /** Guards the timeout of silent nodes: it follows the connect timeout of the settings, or a default if there is none. */
    @ParameterizedTest
    @CsvSource({"100.0,300", "250.0,600", "0.0,600"})
    void theTimeoutOfASilentNodeFollowsTheSettings(String dialTimeoutMs, double timeoutMs) throws IOException {
        try (SocketRig rig = new SocketRig(
                Scenario.SETTINGS.replace("\"dialTimeoutMs\":250.0", "\"dialTimeoutMs\":" + dialTimeoutMs), 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("X-Txn: a");
            rig.advance(timeoutMs - 20);
            assertThat(node.isClosed()).isFalse();
            rig.advance(40);
            rig.turnUntil("it is given up", node::isClosed);
            awaitNextAttempt(rig).expect("X-Txn: a");
        }
    }

    /** Guards the loop: a connection that is established after its node began to drain is closed without an internal fault. */
    @Test
    void aConnectionNoLongerNeededOnceOpenIsNoFault() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "towels"));
            rig.turnUntil("an attempt", () -> rig.counters.get("attempts.out") == 1);
            rig.platform.applyFleetLine("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "draining") + "]}");
            rig.turnUntil("its end", () -> rig.counters.get("attempts.connect_failed") == 1);
            assertThat(rig.counters.get("net.fault")).as(rig.log.toString()).isZero();
        }
    }
}
