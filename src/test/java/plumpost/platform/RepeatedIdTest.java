package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** Requests under the id of another one that is open or may have run: each id is one run, told to its own client only. */
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

    /** Sends an order and expects that it is rejected and its connection closed. */
    private static void expectRejection(SocketRig rig, String request) throws IOException {
        Peer client = rig.client();
        client.send(request);
        rig.turnUntil("the rejection", client::isClosed);
        assertThat(client.text()).startsWith("HTTP/1.1 409 ").doesNotContain("r-");
    }

    private static void assertNoOtherAttempt(SocketRig rig) {
        rig.advance(500);
        assertThat(rig.nodes.get(0).poll()).as("another attempt").isNull();
        assertThat(rig.counters.get("attempts.out")).isEqualTo(1);
    }

    /** Guards an order whose client left while it ran: it goes on, and nobody else is told its result. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 200, 1_200})
    void anIdWhoseClientLeftIsRejected(int laterMs) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            first.close();
            rig.advance(laterMs);
            expectRejection(rig, order("a"));
            node.send(SocketRig.doneAnswer("a"));
            rig.turnUntil("its end", () -> rig.core.openJobCount() == 0);
            expectRejection(rig, order("a"));
            assertNoOtherAttempt(rig);
        }
    }

    /** Guards an order that ended after its client had left, was answered, or failed: its id is rejected, however late. */
    @ParameterizedTest
    @ValueSource(strings = {"served unseen", "served", "failed"})
    void anIdThatHasEndedIsRejected(String outcome) throws IOException {
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
                expectRejection(rig, order("a"));
            }
            assertNoOtherAttempt(rig);
        }
    }

    /** Guards a running order against another client that names its id: only its own client gets the result. */
    @Test
    void anIdThatRunsIsRejectedOnAnotherConnection() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer first = rig.client();
            Peer node = startOrder(rig, first, "a");
            expectRejection(rig, order("a"));
            expectRejection(rig, SocketRig.jobRequest("pickup-order", "a", "", "other"));
            expectRejection(rig, SocketRig.jobRequest("route-plan", "a", "", "towels"));
            node.send(SocketRig.doneAnswer("a"));
            assertThat(first.expect("r-a")).startsWith("HTTP/1.1 200 ");
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
            ahead.send(SocketRig.jobRequest("route-plan", "c", "X-Remaining-Ms: 500\r\n", "x".repeat(60_000))
                    + SocketRig.jobRequest("pickup-order", "a", "", "x".repeat(60_000)));
            rig.advance(1_000);
            assertThat(rig.counters.get("front.far_ahead")).isEqualTo(1);
            assertThat(ahead.expect("HTTP/1.1 ")).matches("(?s)(HTTP/1.1 503 [^H]*){2}HTTP/1.1 500 [^H]*");
            Peer last = rig.client();
            last.send("GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n");
            last.expect("200");
            rig.platform.stop(rig.nowMs, 700);
            rig.advance(2_000);
            String incomplete = order("a").substring(0, order("a").length() - 1);
            last.send(incomplete);
            rig.advance(1_150);
            rig.turnUntil("its answer", last::isClosed);
            assertThat(last.text()).startsWith("HTTP/1.1 409 ");
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
