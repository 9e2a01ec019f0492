package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;
import plumpost.gearman.Packet;

/**
 * Clients that leave while their request waits for its first attempt, on real connections: in each case, by each kind of
 * end and for each class, nothing of the request is sent on after that.
 */
class ClientsThatLeftTest {
    private static final List<String> CLASSES = List.of("route-plan", "pickup-order");

    /** How a client leaves. */
    enum End {
        CLOSE,
        HALF_CLOSE,
        RESET;

        void of(Peer p) throws IOException {
            switch (this) {
                case CLOSE -> p.close();
                case HALF_CLOSE -> p.halfClose();
                default -> p.reset();
            }
        }
    }

    private static String job(String cls, String id) {
        return SocketRig.job(cls, id, "X-Remaining-Ms: 6000\r\n", "towels");
    }

    /** Whether a whole request for the job has come to the only node, within so long. */
    private static boolean sentOn(SocketRig rig, double ms) {
        rig.pass(ms);
        boolean sent = false;
        for (Peer p = rig.nodes.get(0).poll(); p != null; p = rig.nodes.get(0).poll()) {
            sent |= p.text().endsWith("\r\n\r\ntowels");
        }
        return sent;
    }

    /** Guards requests read only after their client left: accepted late, read after a pause, with more bytes ahead. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftBeforeItsRequestWasRead(End end) throws IOException {
        for (String cls : CLASSES) {
            for (String ahead : List.of("", job(cls, "b"), "POST /pick", "x".repeat(5_000))) {
                for (boolean accepted : new boolean[] {false, true}) {
                    try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                        Peer client = rig.client();
                        if (accepted) {
                            rig.until("accepted", () -> rig.counters.of("net.accepted") == 1);
                        }
                        client.send(job(cls, "a") + ahead);
                        end.of(client);
                        assertThat(sentOn(rig, 1_000))
                                .as("%s with %s ahead", cls, ahead)
                                .isFalse();
                        assertThat(rig.counters.of("attempts.out")).isZero();
                        assertThat(rig.room.open()).isZero();
                    }
                }
            }
        }
    }

    /** Guards the wait for a node: none is listed yet when the client leaves, and one comes a moment later. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftWhileNoNodeHadRoom(End end) throws IOException {
        for (String cls : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                rig.platform.told("{\"seq\":2,\"whole\":true,\"hosts\":[]}");
                Peer client = rig.client();
                client.send(job(cls, "a"));
                rig.until("held", () -> rig.room.open() == 1);
                end.of(client);
                rig.until("noticed", () -> rig.room.open() == 0);
                rig.platform.told("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.host(0, "up") + "]}");
                assertThat(sentOn(rig, 1_000)).isFalse();
                assertThat(rig.counters.of("jobs.client_gone")).isEqualTo(1);
            }
        }
    }

    /** Guards the time in which a node's connection comes up, and the proof before an order's last byte. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftBeforeTheLastByteWasWritten(End end) throws IOException {
        for (boolean up : new boolean[] {false, true}) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer client = rig.client();
                client.send(job("pickup-order", "a"));
                rig.until("an attempt", () -> rig.counters.of("attempts.out") == 1);
                Peer node = up ? rig.nodes.get(0).accept() : null;
                if (up) {
                    node.expect("towel");
                }
                end.of(client);
                rig.until("noticed", () -> rig.room.open() == 0);
                assertThat(sentOn(rig, 1_000)).isFalse();
                if (up) {
                    rig.until("the node's connection ends", node::over);
                    assertThat(node.text()).doesNotContain("s");
                }
            }
        }
    }

    /** Guards the wait between attempts, and an answer's write side that is blocked while the client leaves. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftBetweenAttempts(End end) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("pickup-order", "a"));
            Peer node = rig.nodes.get(0).accept();
            rig.passUntil("the order", 50, () -> node.text().endsWith("towels"));
            node.send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            rig.until("turned away", () -> rig.counters.of("attempts.full") == 1);
            end.of(client);
            rig.until("noticed", () -> rig.room.open() == 0);
            assertThat(sentOn(rig, 3_000)).isFalse();
        }
    }

    /** Guards requests behind one that is answered: their client left meanwhile, and they are never begun. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftWithASecondRequestAhead(End end) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("route-plan", "a") + job("pickup-order", "b"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towels");
            node.send(SocketRig.done("a"));
            end.of(client); // the answer and the client's end cross
            assertThat(sentOn(rig, 1_000)).isFalse();
            assertThat(rig.counters.of("attempts.out")).isEqualTo(1);
        }
    }

    /** Guards a pause of the process: a node comes free in the turn in which the client left, which is not yet read. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftWhileTheLoopWasBusy(End end) throws IOException {
        for (String cls : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer before = rig.client();
                before.send(job("route-plan", "w"));
                Peer node = rig.nodes.get(0).accept();
                node.expect("towels");
                node.send(SocketRig.done("w"));
                before.expect("r-w"); // from here on a connection to the node is kept, and a job would go out at once
                rig.platform.told("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.host(0, "draining") + "]}");
                Peer client = rig.client();
                client.send(job(cls, "a"));
                rig.until("held", () -> rig.room.open() == 1);
                rig.after(10, () -> leave(end, client));
                rig.after(
                        390,
                        () -> rig.platform.told("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.host(0, "up") + "]}"));
                rig.jump(400);
                assertThat(rig.counters.of("attempts.out"))
                        .as("only the one before")
                        .isEqualTo(1);
                assertThat(sentOn(rig, 1_000)).isFalse();
                assertThat(node.text()).isEmpty();
                assertThat(rig.counters.of("jobs.client_gone")).isEqualTo(1);
                Peer after = rig.client(); // and the module does not wait for what was never sent
                after.send(job("route-plan", "z"));
                rig.until("it goes out", () -> rig.counters.of("attempts.out") == 2);
            }
        }
    }

    /** Guards the same pause for a Gearman client. */
    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"CLOSE", "RESET"})
    void whoLeftOnTheGearmanFrontWhileTheLoopWasBusy(End end) throws IOException {
        for (String cls : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                rig.platform.told("{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.host(0, "draining") + "]}");
                Peer client = rig.gearmanClient();
                client.send(Packet.Type.SUBMIT_JOB, cls, "", "towels");
                client.send(Packet.Type.SUBMIT_JOB, cls, "", "towels"); // found to be gone by the look for the first
                rig.until("held", () -> rig.room.open() == 2);
                rig.after(10, () -> leave(end, client));
                rig.after(
                        390,
                        () -> rig.platform.told("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.host(0, "up") + "]}"));
                rig.jump(400);
                assertThat(rig.counters.of("attempts.out")).isZero();
                assertThat(sentOn(rig, 1_000)).isFalse();
                assertThat(rig.room.open()).isZero();
                assertThat(rig.counters.toString()).doesNotContain("guard.");
                for (int next = 1; next <= 2; next++) { // and the module does not wait for what was never sent
                    rig.client().send(job("route-plan", "z" + next));
                    int out = next;
                    rig.until("it goes out", () -> rig.counters.of("attempts.out") == out);
                }
            }
        }
    }

    /** Guards the same pause while an order's last byte is kept back. */
    @ParameterizedTest
    @EnumSource(End.class)
    void whoLeftInAPauseBeforeTheLastByte(End end) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("pickup-order", "a"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towel");
            rig.after(1, () -> leave(end, client));
            rig.jump(400);
            rig.until("the node's connection ends", node::over);
            assertThat(node.text()).as("the last byte").isEmpty();
            assertThat(rig.room.open()).isZero();
        }
    }

    private static void leave(End end, Peer client) {
        try {
            end.of(client);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
