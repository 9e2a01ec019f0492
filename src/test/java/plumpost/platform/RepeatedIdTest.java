package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** Requests that come again under an id that may have run and may not be repeated: each id is one run. */
class RepeatedIdTest {
    private static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    private static String order(String id) {
        return SocketRig.jobRequest("pickup-order", id, "", "towels");
    }

    /** Sends an order and returns the node's connection on which it runs. */
    private static Peer startOrder(SocketRig rig, Peer client, String id) {
        client.send(order(id));
        Peer node = rig.nodes.get(0).accept();
        rig.advanceUntil("the order", 50, () -> node.text().endsWith("towels"));
        return node;
    }

    private static void assertNoOtherAttempt(SocketRig rig) {
        rig.advance(500);
        assertThat(rig.nodes.get(0).poll()).as("another attempt").isNull();
        assertThat(rig.counters.get("attempts.out")).isEqualTo(1);
    }

    /** Guards an order whose client left while it ran: the client that comes again gets the outcome of that run. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 200, 1_200})
    void anIdWhoseClientLeftJoinsItsRun(int laterMs) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            first.close();
            rig.advance(laterMs);
            Peer again = rig.client();
            again.send(order("a"));
            rig.advance(20);
            node.send(SocketRig.doneAnswer("a"));
            assertThat(again.expect("HTTP/1.1 ")).startsWith("HTTP/1.1 200 ").contains("r-a");
            assertNoOtherAttempt(rig);
        }
    }

    /** Guards an order that ended after its client had left, was answered, or failed: its outcome is told, however late. */
    @ParameterizedTest
    @ValueSource(strings = {"served unseen", "served", "failed"})
    void anIdThatHasEndedIsToldItsOutcome(String outcome) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            if (outcome.equals("served unseen")) {
                first.close();
            }
            if (outcome.equals("failed")) {
                node.close();
            } else {
                node.send(SocketRig.doneAnswer("a"));
            }
            rig.turnUntil("its end", () -> rig.core.openJobCount() == 0);
            for (int laterMs : new int[] {1, 2_500, 30_000, 300_000}) {
                rig.advanceInOneTurn(laterMs);
                Peer again = rig.client();
                again.send(order("a"));
                assertThat(again.expect("HTTP/1.1 "))
                        .startsWith(outcome.equals("failed") ? "HTTP/1.1 500 " : "HTTP/1.1 200 ");
            }
            assertNoOtherAttempt(rig);
        }
    }

    /** Guards an order that is handed in twice while it runs: both clients get the result of one run. */
    @Test
    void anIdThatRunsIsJoinedOnAnotherConnection() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            Peer second = rig.client();
            second.send(order("a"));
            rig.advance(20);
            node.send(SocketRig.doneAnswer("a"));
            assertThat(first.expect("r-a")).startsWith("HTTP/1.1 200 ");
            assertThat(second.expect("r-a")).startsWith("HTTP/1.1 200 ");
            assertNoOtherAttempt(rig);
        }
    }

    /** Guards an order that was turned away unstarted when its client left: it never ran and may be tried again. */
    @Test
    void anIdThatNeverRanMayBeTriedAgain() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            first.close();
            rig.advance(10);
            node.send(TURNED_AWAY);
            rig.advanceUntil("it ends", 5_000, () -> rig.core.openJobCount() == 0);
            assertThat(rig.counters.get("attempts.out")).isEqualTo(1);
            Peer again = rig.client();
            again.send(order("a"));
            rig.advanceUntil("another attempt", 5_000, () -> rig.counters.get("attempts.out") == 2);
            Peer secondNode = rig.nodes.get(0).accept();
            rig.advanceUntil("the order", 50, () -> secondNode.text().endsWith("towels"));
            secondNode.send(SocketRig.doneAnswer("a"));
            assertThat(again.expect("r-a")).startsWith("HTTP/1.1 200 ");
        }
    }

    /** Guards an id that has run against a refusal, which would invite another try: in a shutdown, and far ahead of an answer. */
    @Test
    void anIdThatMayHaveRunIsNeverRefused() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.ready();
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            node.close();
            assertThat(first.expect("HTTP/1.1 ")).startsWith("HTTP/1.1 500 ");
            Peer ahead = rig.client();
            ahead.send(SocketRig.jobRequest("route-plan", "b", "X-Remaining-Ms: 500\r\n", "x"));
            rig.advance(10);
            ahead.send(SocketRig.jobRequest("pickup-order", "a", "", "x".repeat(60_000))
                    .repeat(2));
            rig.advance(1_000);
            assertThat(rig.counters.get("front.far_ahead")).isEqualTo(1);
            assertThat(ahead.expect("HTTP/1.1 ")).matches("(?s)HTTP/1.1 503 .*(HTTP/1.1 500 [^H]*){2}");
            Peer last = rig.client();
            last.send("GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n");
            last.expect("200");
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(2_000);
            String incomplete = order("a").substring(0, order("a").length() - 1);
            last.send(incomplete);
            rig.advance(1_150);
            rig.turnUntil("its answer", last::isClosed);
            assertThat(last.text()).startsWith("HTTP/1.1 500 ");
        }
    }

    /** Guards the memory for ids: at the bound the oldest go first, and a class that may be repeated keeps none. */
    @Test
    void keptIdsAreBounded() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            for (int i = 0; i < 100; i++) {
                Peer client = rig.client();
                Peer node = startOrder(rig, client, "a" + i);
                node.send(SocketRig.doneAnswer("a" + i));
                client.expect("r-a" + i);
                client.close();
                rig.advanceInOneTurn(25_000); // past the class's deadline, for which each is kept in any case
            }
            assertThat(rig.counters.get("jobs.kept_outcomes")).isEqualTo(64);
            assertThat(rig.counters.get("jobs.kept_evicted")).isPositive();
            assertThat(rig.core.isOutcomeKept("\0http\0a99")).isTrue();
            assertThat(rig.core.isOutcomeKept("\0http\0a0")).isFalse();
        }
    }
}
