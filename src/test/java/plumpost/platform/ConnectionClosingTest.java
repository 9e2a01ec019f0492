package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** Bytes that arrive while a connection or the process is being closed, on real connections. */
class ConnectionClosingTest {
    private static final String LIVENESS_REQUEST = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n";

    private static String settingsWithDeadline(String deadlineMs) {
        return Scenario.SETTINGS
                .replace("\"deadlineMs\":8000.0", "\"deadlineMs\":" + deadlineMs)
                .replace("\"deadlineMs\":20000.0", "\"deadlineMs\":" + deadlineMs);
    }

    /** Guards a request that arrives on an idle connection as it is about to be closed: it is served, not discarded. */
    @Test
    void aRequestArrivingAtTheIdleTimeoutIsServed() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(LIVENESS_REQUEST);
            client.expect("200 OK");
            rig.pass(300);
            rig.after(1, () -> client.send(LIVENESS_REQUEST));
            rig.jump(61_000); // the sweep that closes connections idle for a minute runs in the same turn, after the
            // request
            client.expect("200 OK");
            assertThat(client.over()).isFalse();
        }
    }

    /** Guards the same when the shutdown closes idle connections. */
    @Test
    void aRequestArrivingAsShutdownClosesIdleConnectionsIsServed() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVENESS_REQUEST);
            client.expect("200 OK");
            rig.platform.stop(rig.now, 700);
            rig.pass(2_200);
            rig.after(1, () -> client.send(SocketRig.job("route-plan", "a", "", "x")));
            rig.jump(200);
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.done("a"));
            assertThat(client.expect("r-a")).contains("Connection: close");
            rig.until("its end", client::over);
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards an answer against a reset: bytes that arrive after it are discarded before the connection is closed. */
    @Test
    void bytesArrivingAtTheCloseDoNotCauseAReset() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send("GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
            rig.until("an answer that closes", () -> rig.counters.of("front.answers.404") == 1);
            rig.after(1, () -> client.send("x".repeat(100_000)));
            rig.jump(600); // the connection is closed in the same turn, after the bytes have arrived
            rig.until("its end", client::over);
            assertThat(client.text()).contains("404 Not Found");
            rig.turn(); // a registered channel is closed by the next selection
            client.send("y"); // fails if a reset has arrived
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards connections that are closed because they are silent, or shed for a new one: they are closed without a reset. */
    @Test
    void silentAndShedConnectionsCloseWithoutReset() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer silent = rig.client();
            rig.until("accepted", () -> rig.counters.of("net.accepted") == 1);
            rig.pass(2_300);
            assertClosedWithoutReset(rig, silent);
            Peer idle = rig.client();
            idle.send(LIVENESS_REQUEST);
            idle.expect("200 OK");
            rig.pass(200);
            assertThat(rig.platform.shed()).isTrue();
            assertClosedWithoutReset(rig, idle);
        }
    }

    /** Checks that the client's bytes cause no reset: it sees a regular close, and can send its request elsewhere. */
    private static void assertClosedWithoutReset(SocketRig rig, Peer client) {
        rig.turn();
        client.send(LIVENESS_REQUEST);
        rig.until("its end", client::over);
        client.send(LIVENESS_REQUEST); // fails if the previous send was answered with a reset
        assertThat(client.reset).isFalse();
    }

    /** Guards answers at the end of the process: one larger than the socket buffers is written completely before it ends. */
    @Test
    void theProcessEndsOnlyAfterItsAnswersAreWritten() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            String largeResult = "x".repeat(60_000);
            client.narrow();
            client.send(SocketRig.job("route-plan", "a", "Connection: close\r\n", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.CHUNKED);
            rig.platform.stop(rig.now, 700);
            rig.pass(2_400);
            node.send(SocketRig.chunk(SocketRig.line("a", largeResult)) + "0\r\n\r\n");
            rig.until("an answer", () -> rig.counters.of("front.answers.200") == 1);
            assertThat(rig.platform.quiet()).isTrue();
            rig.end(() -> !client.text().isEmpty() | rig.platform.quiet());
            assertThat(client.text()).endsWith(largeResult);
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards connections that arrive just before the process ends: they are answered first. */
    @Test
    void aConnectionArrivingJustBeforeTheEndIsAnswered() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            rig.platform.stop(rig.now, 700);
            rig.pass(3_500);
            assertThat(rig.platform.quiet()).isTrue();
            Peer late = rig.client();
            late.send(SocketRig.job("pickup-order", "a", "", "x"));
            rig.end(() -> late.text() != null && rig.platform.quiet());
            assertThat(late.text()).contains("503 Service Unavailable", "Connection: close");
            assertThat(late.reset).isFalse();
        }
    }

    /**
     * Guards jobs taken late in a shutdown: SIGKILL may come 0.7 s after the longest deadline, which counts as at most 3 s, after
     * SIGTERM.
     */
    @ParameterizedTest
    @CsvSource({"1200,1900", "1500,2200", "2400,3100", "8000,3700"})
    void aJobTakenAfterSigtermIsAnsweredBeforeSigkill(String deadline, double killAfterMs) throws IOException {
        try (SocketRig rig = new SocketRig(settingsWithDeadline(deadline), 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVENESS_REQUEST);
            client.expect("200 OK");
            rig.platform.stop(rig.now, 700);
            double stoppedAtMs = rig.now;
            rig.pass(710);
            boolean open = !client.over();
            assertThat(open).as("connections stay where jobs have time to run").isEqualTo(killAfterMs >= 2_200);
            client.send(SocketRig.job("pickup-order", "a", "", "x")); // no node answers it
            rig.pass(stoppedAtMs + killAfterMs - rig.now - 100);
            assertThat(client.text()).as("answered by the time of SIGKILL").startsWith(open ? "HTTP/1.1 5" : "");
            assertThat(client.over()).isTrue();
            assertThat(client.reset).isFalse();
            assertThat(rig.room.open()).isZero();
            Peer late = rig.client();
            late.send(SocketRig.job("pickup-order", "b", "", "x"));
            late.expect("503 Service Unavailable");
        }
    }

    /** Guards an open job against its own client's pipelined requests: its answer comes first, then the answers to all of them. */
    @Test
    void manyPipelinedRequestsWaitForTheOpenJob() throws IOException {
        int pipelined = 4_000;
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < pipelined; i++) {
                requests.append(LIVENESS_REQUEST);
            }
            client.send(requests.toString());
            rig.pass(500);
            assertThat(client.over()).isFalse();
            node.send(SocketRig.done("a"));
            rig.pass(50); // buffered requests are read by a timer
            rig.until("all answers", () -> rig.counters.of("front.answers.200") == pipelined + 1);
            assertThat(client.text()).startsWith("HTTP/1.1 200 OK").contains("r-a");
            assertThat(client.reset).isFalse();
            assertThat(rig.counters.of("front.far_ahead")).isPositive();
        }
    }

    /** Guards a pipelined request during shutdown: it is answered too before its connection is closed. */
    @Test
    void aPipelinedRequestIsAnsweredDuringShutdown() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x") + SocketRig.job("route-plan", "b", "", "y"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            rig.platform.stop(rig.now, 700);
            rig.pass(3_000);
            assertThat(client.text()).isEmpty();
            rig.pass(200);
            rig.until("its end", client::over);
            assertThat(client.text()).matches("(?s)HTTP/1.1 503.*HTTP/1.1 503.*Connection: close.*");
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards jobs cut short by the shutdown: one that was sent to no node is refused, so another scheduler may serve it. */
    @Test
    void aJobThatWasNeverSentIsRefusedAtShutdown() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 0)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVENESS_REQUEST);
            client.expect("200 OK");
            rig.platform.stop(rig.now, 700);
            rig.pass(1_000);
            client.send(SocketRig.job("pickup-order", "a", "", "x"));
            rig.pass(2_500);
            client.expect("503 Service Unavailable");
        }
    }
}
