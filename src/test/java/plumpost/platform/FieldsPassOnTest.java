package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.SocketRig;

/** What of a client's request reaches the route node, on real connections. */
class FieldsPassOnTest {

    /** Guards classes whose repeats nodes drop by a key that the client sends: without it they were refused as foreign. */
    @Test
    void allFieldsButTheConnectionsOwnPassOn() throws Exception {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            SocketRig.Peer client = rig.client();
            client.send(SocketRig.job(
                    "pickup-order",
                    "a",
                    "Idempotency-Key: 77c8\r\nX-Remaining-Ms: 700\r\n"
                            + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Lane: pickup-order\r\n"
                            + "idempotency-note:  two \r\nExpect: nothing\r\n",
                    "towels"));
            SocketRig.Peer node = rig.nodes.get(0).accept();
            rig.passUntil("the order's last byte", 50, () -> node.text().endsWith("\r\n\r\ntowels"));
            String got = node.text();
            assertThat(got)
                    .contains(
                            "\r\nIdempotency-Key: 77c8\r\n", "\r\nidempotency-note:  two\r\n", "\r\nX-Remaining-Ms: 6")
                    .doesNotContain("X-Hop", "Keep-Alive", "Expect", "Connection");
            for (String once : new String[] {"X-Txn", "X-Lane", "X-Remaining-Ms", "Content-Length", "Host"}) {
                assertThat(got.split("\r\n" + once + ": ", -1)).as(once).hasSize(2);
            }
            node.send(SocketRig.done("a"));
            client.expect("r-a");
        }
    }
}
