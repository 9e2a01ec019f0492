package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.SocketRig;

/** The header fields of a client's request that reach the route node, on real connections. */
class HeaderForwardingTest {

    /** Guards classes whose repeats nodes drop by a key from the client: nodes refused requests without it as foreign. */
    @Test
    void allFieldsExceptHopByHopOnesAreForwarded() throws Exception {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            SocketRig.Peer client = rig.client();
            client.send(SocketRig.jobRequest(
                    "pickup-order",
                    "a",
                    "Idempotency-Key: 77c8\r\nX-Remaining-Ms: 700\r\n"
                            + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Lane: pickup-order\r\n"
                            + "idempotency-note:  two \r\nExpect: nothing\r\n",
                    "towels"));
            SocketRig.Peer node = rig.nodes.get(0).accept();
            rig.advanceUntil("the order's last byte", 50, () -> node.text().endsWith("\r\n\r\ntowels"));
            String forwarded = node.text();
            assertThat(forwarded)
                    .contains(
                            "\r\nIdempotency-Key: 77c8\r\n", "\r\nidempotency-note:  two\r\n", "\r\nX-Remaining-Ms: 6")
                    .doesNotContain("X-Hop", "Keep-Alive", "Expect", "Connection");
            for (String field : new String[] {"X-Txn", "X-Lane", "X-Remaining-Ms", "Content-Length", "Host"}) {
                assertThat(forwarded.split("\r\n" + field + ": ", -1)).as(field).hasSize(2);
            }
            node.send(SocketRig.doneAnswer("a"));
            client.expect("r-a");
        }
    }
}
