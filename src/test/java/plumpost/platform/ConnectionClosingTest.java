package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
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
            rig.advance(300);
            rig.schedule(1, () -> client.send(LIVENESS_REQUEST));
            rig.advanceInOneTurn(
                    61_000); // the sweep that closes connections idle for a minute runs in the same turn, after the
            // request
            client.expect("200 OK");
            assertThat(client.isClosed()).isFalse();
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
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(2_200);
            rig.schedule(1, () -> client.send(SocketRig.jobRequest("route-plan", "a", "", "x")));
            rig.advanceInOneTurn(200);
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.doneAnswer("a"));
            assertThat(client.expect("r-a")).contains("Connection: close");
            rig.turnUntil("its end", client::isClosed);
            assertThat(client.failed).isFalse();
        }
    }

    /** Guards an answer against a reset: bytes that arrive after it are discarded before the connection is closed. */
    @Test
    void bytesArrivingAtTheCloseDoNotCauseAReset() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send("GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
            rig.turnUntil("an answer that closes", () -> rig.counters.get("front.answers.404") == 1);
            rig.schedule(1, () -> client.send("x".repeat(100_000)));
            rig.advanceInOneTurn(600); // the connection is closed in the same turn, after the bytes have arrived
            rig.turnUntil("its end", client::isClosed);
            assertThat(client.text()).contains("404 Not Found");
            rig.turn(); // a registered channel is closed by the next selection
            client.send("y"); // fails if a reset has arrived
            assertThat(client.failed).isFalse();
        }
    }

    /** Guards connections that are closed because they are silent, or shed for a new one: they are closed without a reset. */
    @Test
    void silentAndShedConnectionsCloseWithoutReset() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer silent = rig.client();
            rig.turnUntil("accepted", () -> rig.counters.get("net.accepted") == 1);
            rig.advance(2_300);
            assertClosedWithoutReset(rig, silent);
            Peer idle = rig.client();
            idle.send(LIVENESS_REQUEST);
            idle.expect("200 OK");
            rig.advance(200);
            assertThat(rig.platform.shed()).isTrue();
            assertClosedWithoutReset(rig, idle);
        }
    }

    /** Checks that the client's bytes cause no reset: it sees a regular close, and can send its request elsewhere. */
    private static void assertClosedWithoutReset(SocketRig rig, Peer client) {
        rig.turn();
        client.send(LIVENESS_REQUEST);
        rig.turnUntil("its end", client::isClosed);
        client.send(LIVENESS_REQUEST); // fails if the previous send was answered with a reset
        assertThat(client.failed).isFalse();
    }

    /** Guards answers at the end of the process: one larger than the socket buffers is written completely before it ends. */
    @Test
    void theProcessEndsOnlyAfterItsAnswersAreWritten() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            String largeResult = "x".repeat(60_000);
            client.limitReceiveBuffer();
            client.send(SocketRig.jobRequest("route-plan", "a", "Connection: close\r\n", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.CHUNKED);
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(2_400);
            node.send(SocketRig.chunk(SocketRig.doneLine("a", largeResult)) + "0\r\n\r\n");
            rig.turnUntil("an answer", () -> rig.counters.get("front.answers.200") == 1);
            assertThat(rig.platform.isIdle()).isTrue();
            rig.runUntilEnd(() -> !client.text().isEmpty() | rig.platform.isIdle());
            assertThat(client.text()).endsWith(largeResult);
            assertThat(client.failed).isFalse();
        }
    }

    /** Guards connections that arrive just before the process ends: they are answered first. */
    @Test
    void aConnectionArrivingJustBeforeTheEndIsAnswered() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(3_500);
            assertThat(rig.platform.isIdle()).isTrue();
            Peer late = rig.client();
            late.send(SocketRig.jobRequest("pickup-order", "a", "", "x"));
            rig.runUntilEnd(() -> late.text() != null && rig.platform.isIdle());
            assertThat(late.text()).contains("503 Service Unavailable", "Connection: close");
            assertThat(late.failed).isFalse();
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
            rig.platform.stop(rig.nowMs, 700);
            double stoppedAtMs = rig.nowMs;
            rig.advance(710);
            boolean open = !client.isClosed();
            assertThat(open).as("connections stay where jobs have time to run").isEqualTo(killAfterMs >= 2_200);
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "x")); // no node answers it
            rig.advance(stoppedAtMs + killAfterMs - rig.nowMs - 100);
            assertThat(client.text()).as("answered by the time of SIGKILL").startsWith(open ? "HTTP/1.1 5" : "");
            assertThat(client.isClosed()).isTrue();
            assertThat(client.failed).isFalse();
            assertThat(rig.core.openJobCount()).isZero();
            Peer late = rig.client();
            late.send(SocketRig.jobRequest("pickup-order", "b", "", "x"));
            late.expect("503 Service Unavailable");
        }
    }

    /**
     * Guards requests that were unanswered at SIGKILL (review case 10): it comes as early as the deadlines in force allow, also
     * where classes with longer ones have disappeared, or get shorter ones while the process ends.
     */
    @ParameterizedTest
    @CsvSource({"before,1200,1900", "before,2400,3100", "after,1200,1900", "after,2400,3100"})
    void removedLongDeadlinesDoNotDelayTheShutdown(String sighup, String deadline, double killAfterMs)
            throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            String shorter =
                    settingsWithDeadline(deadline).replace("\"name\":\"route-plan\"", "\"name\":\"route-plan-r2\"");
            rig.platform.ready();
            Peer client = rig.client();
            client.send(LIVENESS_REQUEST);
            client.expect("200 OK");
            if (sighup.equals("before")) {
                rig.applySettings(shorter);
                rig.advance(7_000);
            }
            rig.platform.stop(rig.nowMs, 700);
            double stoppedAtMs = rig.nowMs;
            rig.advance(300);
            if (sighup.equals("after")) {
                rig.applySettings(shorter);
            }
            client.send(SocketRig.jobRequest("route-plan-r2", "a", "", "x")); // no node answers it
            rig.advance(stoppedAtMs + killAfterMs - rig.nowMs - 100);
            assertThat(client.text()).as("answered by the time of SIGKILL").contains("HTTP/1.1 5");
            assertThat(client.isClosed()).isTrue();
            assertThat(rig.core.openJobCount()).isZero();
        }
    }

    /** Guards an open job against its own client's pipelined requests: its answer comes first, then the answers to all of them. */
    @Test
    void manyPipelinedRequestsWaitForTheOpenJob() throws IOException {
        int pipelined = 4_000;
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < pipelined; i++) {
                requests.append(LIVENESS_REQUEST);
            }
            client.send(requests.toString());
            rig.advance(500);
            assertThat(client.isClosed()).isFalse();
            node.send(SocketRig.doneAnswer("a"));
            StringBuilder answers = new StringBuilder();
            rig.turnUntil(
                    "all answers",
                    () -> statuses(answers.append(client.takeText())).length() == pipelined + 1);
            int kept = 64 * 1024 / LIVENESS_REQUEST.length();
            assertThat(statuses(answers))
                    .as("one answer each, in order: those within 64 KiB are served, the others refused")
                    .matches("2{" + (kept + 1) + "}5{" + (pipelined - kept) + "}");
            assertThat(answers.toString()).startsWith("HTTP/1.1 200 OK").contains("r-a");
            assertThat(rig.counters.get("front.answers.503")).isEqualTo(pipelined - kept);
            client.send(LIVENESS_REQUEST);
            assertThat(client.expect("HTTP/1.1 ")).as("the next request").startsWith("HTTP/1.1 200 ");
            assertThat(client.failed).isFalse();
        }
    }

    /** Returns the first digit of the status of each answer. */
    private static String statuses(CharSequence answers) {
        return Pattern.compile("HTTP/1\\.1 ([0-9])")
                .matcher(answers)
                .results()
                .map(found -> found.group(1))
                .collect(Collectors.joining());
    }

    /** Guards the time that a worker is told for a request that waited behind another one of its connection. */
    @Test
    void aRequestThatWaitedAheadTellsOnlyTheTimeThatIsLeft() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "X-Remaining-Ms: 7000\r\n", "x"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            node.send(SocketRig.CHUNKED + SocketRig.chunk("{\"id\":\"a\",\"state\":\"started\"}\n"));
            rig.advance(100);
            client.send(SocketRig.jobRequest("route-plan", "b", "X-Remaining-Ms: 6000\r\n", "x"));
            rig.advance(900);
            client.send(SocketRig.jobRequest("route-plan", "c", "X-Remaining-Ms: 6000\r\n", "x"));
            rig.advance(1_000);
            node.send(SocketRig.chunk(SocketRig.doneLine("a", "r")) + "0\r\n\r\n");
            assertThat(tellsMs(node.expect("X-Txn: b"))).isBetween(4_000, 4_150);
            node.send(SocketRig.doneAnswer("b"));
            assertThat(tellsMs(node.expect("X-Txn: c"))).isBetween(4_900, 5_150);
        }
    }

    private static int tellsMs(String request) {
        return Integer.parseInt(request.replaceAll("(?s).*X-Remaining-Ms: ([0-9]+).*", "$1"));
    }

    /** Guards a pipelined request during shutdown: it is answered too before its connection is closed. */
    @Test
    void aPipelinedRequestIsAnsweredDuringShutdown() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer client = rig.client();
            client.send(SocketRig.jobRequest("route-plan", "a", "", "x")
                    + SocketRig.jobRequest("route-plan", "b", "", "y"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("POST /route-plan");
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(3_000);
            assertThat(client.text()).isEmpty();
            rig.advance(200);
            rig.turnUntil("its end", client::isClosed);
            assertThat(client.text()).matches("(?s)HTTP/1.1 503.*HTTP/1.1 503.*Connection: close.*");
            assertThat(client.failed).isFalse();
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
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(1_000);
            client.send(SocketRig.jobRequest("pickup-order", "a", "", "x"));
            rig.advance(2_500);
            client.expect("503 Service Unavailable");
        }
    }
}
