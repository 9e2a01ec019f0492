package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;
import plumpost.gearman.Packet;

/** Clients that send small requests without a pause on one connection, beside others; counted in turns of the loop. */
class FloodingClientTest {
    private static final String LIVENESS_REQUEST = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n";
    /** The requests of one connection that one turn may answer. */
    private static final int MAX_REQUESTS_PER_TURN = 32;

    private static final int MAX_PACKETS_PER_TURN = 256;

    /** Guards the other clients against a parse loop that goes on as long as one client's bytes arrive. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /route-plan HTTP/1.1\r\nHost: h\r\nX-Txn: f\r\nX-Remaining-Ms: 0\r\nContent-Length: 1\r\n\r\nx",
                LIVENESS_REQUEST
            })
    void oneClientsRequestsTakeOnlyTheirShareOfATurn(String request) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer flooding = rig.client();
            Peer other = rig.client();
            rig.turnUntil("accepted", () -> rig.counters.get("net.accepted") == 2);
            flooding.sendWithoutTurns(request.repeat(3_000));
            other.send(LIVENESS_REQUEST);
            rig.turn();
            assertThat(other.text()).as("in the same turn").startsWith("HTTP/1.1 200 ");
            assertThat(rig.counters.get("front.requests")).isBetween(2L, MAX_REQUESTS_PER_TURN + 1L);
            for (int turn = 1; turn < 20; turn++) {
                long before = rig.counters.get("front.requests");
                rig.turn();
                assertThat(rig.counters.get("front.requests") - before).isBetween(1L, (long) MAX_REQUESTS_PER_TURN);
            }
        }
    }

    /** Guards the other clients against many clients that flood at once: each gets its share of each turn. */
    @Test
    void manyFloodingClientsShareATurn() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            List<Peer> flooding =
                    IntStream.range(0, 8).mapToObj(i -> connect(rig)).toList();
            Peer other = rig.client();
            rig.turnUntil("accepted", () -> rig.counters.get("net.accepted") == 9);
            for (Peer client : flooding) {
                client.sendWithoutTurns(LIVENESS_REQUEST.repeat(2_000));
            }
            for (int turn = 0; turn < 10; turn++) {
                other.send(LIVENESS_REQUEST);
                rig.turn();
                assertThat(other.takeText()).startsWith("HTTP/1.1 200 ");
                assertThat(flooding)
                        .allSatisfy(client -> assertThat(client.takeText()).isNotEmpty());
            }
        }
    }

    private static Peer connect(SocketRig rig) {
        try {
            return rig.client();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards the same on the Gearman front, whose packets may be of twelve bytes. */
    @Test
    void oneGearmanClientsPacketsTakeOnlyTheirShareOfATurn() throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer flooding = rig.gearmanClient();
            rig.turnUntil("accepted", () -> rig.counters.get("net.accepted") == 1);
            String packet = flooding.encode(Packet.Type.ECHO_REQ, "e");
            flooding.sendWithoutTurns(packet.repeat(4_000));
            for (int turn = 0; turn < 10; turn++) {
                long before = rig.counters.get("gearman.in.ECHO_REQ");
                rig.turn();
                assertThat(rig.counters.get("gearman.in.ECHO_REQ") - before).isBetween(1L, (long) MAX_PACKETS_PER_TURN);
            }
            rig.turnUntil("all are handled", () -> rig.counters.get("gearman.in.ECHO_REQ") == 4_000);
        }
    }
}
