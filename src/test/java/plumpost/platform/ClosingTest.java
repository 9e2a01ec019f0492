package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** Bytes that arrive in the moment in which a connection or the process ends, on real connections. */
class ClosingTest {
    private static final String LIVE = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n";

    private static String deadlines(String ms) {
        return Scenario.SETTINGS
                .replace("\"deadlineMs\":8000.0", "\"deadlineMs\":" + ms)
                .replace("\"deadlineMs\":20000.0", "\"deadlineMs\":" + ms);
    }

    /** Guards a request on a connection that is closed as idle in that moment: it is taken, not read away. */
    @Test
    void aRequestThatCrossesTheIdleSweepIsServed() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(LIVE);
            client.expect("200 OK");
            rig.pass(300);
            rig.after(1, () -> client.send(LIVE));
            rig.jump(61_000); // the sweep that closes what idles for a minute comes after the request, in one turn
            client.expect("200 OK");
            assertThat(client.over()).isFalse();
        }
    }

    /** Guards the same at the orderly end of the process. */
    @Test
    void aRequestThatCrossesTheShutdownIsServed() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVE);
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

    /** Guards an answer against a reset: what comes after it is read away before the connection is shut. */
    @Test
    void bytesThatComeAtTheVeryCloseResetNothing() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send("GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
            rig.until("an answer that closes", () -> rig.counters.of("front.answers.404") == 1);
            rig.after(1, () -> client.send("x".repeat(100_000)));
            rig.jump(600); // the connection is shut in the same turn, after the bytes have come
            rig.until("its end", client::over);
            assertThat(client.text()).contains("404 Not Found");
            rig.turn(); // a registered channel is closed by the selector's next look
            client.send("y"); // fails where a reset has come
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards those that are closed for saying nothing, or for a newcomer's sake: they end in order. */
    @Test
    void aConnectionClosedUnaskedEndsInOrder() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer silent = rig.client();
            rig.until("accepted", () -> rig.counters.of("net.accepted") == 1);
            rig.pass(2_300);
            inOrder(rig, silent);
            Peer idle = rig.client();
            idle.send(LIVE);
            idle.expect("200 OK");
            rig.pass(200);
            assertThat(rig.platform.shed()).isTrue();
            inOrder(rig, idle);
        }
    }

    /** What the client sends meets no reset: it sees an end, and may send it again elsewhere. */
    private static void inOrder(SocketRig rig, Peer client) {
        rig.turn();
        client.send(LIVE);
        rig.until("its end", client::over);
        client.send(LIVE); // fails where the one before was answered by a reset
        assertThat(client.reset).isFalse();
    }

    /** Guards answers at the end of the process: more than the system takes at once is written before it is over. */
    @Test
    void theProcessEndsOnlyOnceItsAnswersAreRead() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            String much = "x".repeat(60_000);
            client.narrow();
            client.send(SocketRig.job("route-plan", "a", "Connection: close\r\n", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.CHUNKED);
            rig.platform.stop(rig.now, 700);
            rig.pass(2_400);
            node.send(SocketRig.chunk(SocketRig.line("a", much)) + "0\r\n\r\n");
            rig.until("an answer", () -> rig.counters.of("front.answers.200") == 1);
            assertThat(rig.platform.quiet()).isTrue();
            rig.end(() -> !client.text().isEmpty() | rig.platform.quiet());
            assertThat(client.text()).endsWith(much);
            assertThat(client.reset).isFalse();
        }
    }

    /** Guards whoever stands at the door in the last moment: the process answers before it is over. */
    @Test
    void aNewcomerInTheLastMomentIsAnswered() throws IOException {
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

    /** Guards what is taken late: SIGKILL may come 0.7 s after the longest deadline, or 3.7 s after SIGTERM. */
    @ParameterizedTest
    @CsvSource({"1200,1900", "1500,2200", "2400,3100", "8000,3700"})
    void whatIsTakenAfterSigtermIsAnsweredBeforeTheKill(String deadline, double kill) throws IOException {
        try (SocketRig rig = new SocketRig(deadlines(deadline), 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVE);
            client.expect("200 OK");
            rig.platform.stop(rig.now, 700);
            double told = rig.now;
            rig.pass(710);
            boolean open = !client.over();
            assertThat(open).as("connections stay where jobs have time to run").isEqualTo(kill >= 2_200);
            client.send(SocketRig.job("pickup-order", "a", "", "x")); // no node answers it
            rig.pass(told + kill - rig.now - 100);
            assertThat(client.text()).as("answered by the time of SIGKILL").startsWith(open ? "HTTP/1.1 5" : "");
            assertThat(client.over()).isTrue();
            assertThat(client.reset).isFalse();
            assertThat(rig.room.open()).isZero();
            Peer late = rig.client();
            late.send(SocketRig.job("pickup-order", "b", "", "x"));
            late.expect("503 Service Unavailable");
        }
    }

    /** Guards an open job against its own client's flood: its answer comes first, then those to all that came ahead. */
    @Test
    void aFloodAheadOfAnAnswerWaitsForIt() throws IOException {
        int ahead = 4_000;
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.job("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            StringBuilder flood = new StringBuilder();
            for (int i = 0; i < ahead; i++) {
                flood.append(LIVE);
            }
            client.send(flood.toString());
            rig.pass(500);
            assertThat(client.over()).isFalse();
            node.send(SocketRig.done("a"));
            rig.pass(50); // what waits is read by a timer
            rig.until("all answers", () -> rig.counters.of("front.answers.200") == ahead + 1);
            assertThat(client.text()).startsWith("HTTP/1.1 200 OK").contains("r-a");
            assertThat(client.reset).isFalse();
            assertThat(rig.counters.of("front.far_ahead")).isPositive();
        }
    }

    /** Guards a request that was read ahead of an answer, at the end: it is answered too before its connection closes. */
    @Test
    void aRequestReadAheadIsAnsweredInTheShutdown() throws IOException {
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

    /** Guards jobs that the end cuts short: what no node has is refused, and another scheduler may serve it. */
    @Test
    void whatWasNeverSentIsRefusedAtTheEnd() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 0)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVE);
            client.expect("200 OK");
            rig.platform.stop(rig.now, 700);
            rig.pass(1_000);
            client.send(SocketRig.job("pickup-order", "a", "", "x"));
            rig.pass(2_500);
            client.expect("503 Service Unavailable");
        }
    }
}
