package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** The limit on the memory that all connections of clients hold together, on real connections. */
class ClientMemoryTest {
    private static final int CLIENTS = 40;
    /** The bytes that may be held beyond the limit: each connection's guaranteed part, and one read that crosses the limit. */
    private static final long TOLERATED_BYTES = CLIENTS * ClientMemory.GUARANTEED_BYTES + 2 * 64 * 1024;

    private static void assertPeakWithinLimit(SocketRig rig) {
        assertThat(rig.counters.get(ClientMemory.PEAK_COUNTER))
                .isBetween(SocketRig.CLIENT_BYTES / 2, SocketRig.CLIENT_BYTES + TOLERATED_BYTES);
    }

    private static String serveOneJob(SocketRig rig, String id, String body) throws IOException {
        Peer client = rig.client();
        client.send(SocketRig.jobRequest("route-plan", id, "", body));
        rig.advanceUntil("job " + id + " taken", 2_000, () -> rig.core.findJob(id) != null);
        rig.advance(8_000); // no node runs it
        return client.expect("HTTP/1.1 ");
    }

    /** Guards the heap against requests that many clients send ahead of their answers; a client with a large body is served. */
    @Test
    void requestsAheadOfAnswersShareALimit() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 0)) {
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Peer client = rig.client();
                clients.add(client);
                for (int j = 0; j < 4; j++) {
                    client.send(SocketRig.jobRequest("route-plan", i + "-" + j, "", "x".repeat(20_000)));
                }
            }
            rig.advance(100);
            assertThat(serveOneJob(rig, "sound", "x".repeat(60_000))).startsWith("HTTP/1.1 500 ");
            rig.advance(40_000); // each client's jobs end one after another
            long ended = rig.counters.get("front.answers.500");
            long refused = rig.counters.get("front.answers.503");
            assertThat(ended + refused).as("one answer each").isEqualTo(4 * CLIENTS + 1);
            assertThat(rig.counters.get("front.far_ahead")).isPositive();
            assertThat(ended).as("each client's first request is taken").isGreaterThan(CLIENTS);
            assertThat(refused)
                    .as("the others are refused: far ahead, or their time was over while they waited")
                    .isEqualTo(rig.counters.get("front.far_ahead") + rig.counters.get("jobs.too_late"));
            assertThat(clients).noneMatch(client -> client.isClosed() || client.failed);
            assertPeakWithinLimit(rig);
        }
    }

    /** Guards the heap against requests that many clients begin and leave incomplete: those that cannot be read are refused. */
    @Test
    void incompleteRequestsShareALimit() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 0)) {
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Peer client = rig.client();
                clients.add(client);
                String request = SocketRig.jobRequest("route-plan", "half" + i, "", "x".repeat(65_000));
                client.send(request.substring(0, request.length() - 10));
            }
            rig.advance(2_400);
            rig.turnUntil("all are closed", () -> clients.stream().allMatch(Peer::isClosed));
            assertThat(rig.counters.get("front.answers.503")).isPositive();
            assertThat(rig.counters.get("front.answers.408") + rig.counters.get("front.answers.503"))
                    .isEqualTo(CLIENTS);
            assertThat(serveOneJob(rig, "sound", "x".repeat(60_000))).startsWith("HTTP/1.1 500 ");
            assertPeakWithinLimit(rig);
            assertThat(rig.counters.get("front.memory_waits")).isPositive();
        }
    }

    /** Guards the heap against answers that clients do not read: the next request is taken only once the last is written. */
    @Test
    void requestsWaitUntilTheLastAnswerIsRead() throws IOException {
        int requests = 100;
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            for (int i = 0; i < requests; i++) {
                client.send(SocketRig.jobRequest("route-plan", "a" + i, "", "x"));
            }
            Peer node = rig.nodes.get(0).accept();
            String result = "r".repeat(60_000);
            int served = 0;
            for (String id = "a0"; served < requests && isTaken(rig, id); id = "a" + served) {
                node.expect("X-Txn: " + id);
                node.send(SocketRig.CHUNKED + SocketRig.chunk(SocketRig.doneLine(id, result)) + "0\r\n\r\n");
                rig.turnUntil("the end of " + id, () -> rig.core.openJobCount() == 0);
                served++;
            }
            assertThat(served).isLessThan(requests);
            int answeredBytes = served * result.length();
            rig.turnUntil("the answers are read", () -> client.text().length() > answeredBytes);
            assertThat(isTaken(rig, "a" + served)).isTrue();
            assertThat(client.failed).isFalse();
        }
    }

    private static boolean isTaken(SocketRig rig, String id) {
        rig.advance(20);
        return rig.core.findJob(id) != null;
    }
}
