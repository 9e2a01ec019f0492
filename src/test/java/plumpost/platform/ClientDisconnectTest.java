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
 * Clients that disconnect before their request is sent to a worker, on real connections: for each way to disconnect and each
 * class, nothing of the request is forwarded afterwards.
 */
class ClientDisconnectTest {
    private static final List<String> CLASSES = List.of("route-plan", "pickup-order");

    /** The ways in which a client disconnects. */
    enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET;

        void disconnect(Peer client) throws IOException {
            switch (this) {
                case CLOSE -> client.close();
                case HALF_CLOSE -> client.halfClose();
                default -> client.reset();
            }
        }
    }

    private static String job(String className, String id) {
        return SocketRig.jobRequest(className, id, "X-Remaining-Ms: 6000\r\n", "towels");
    }

    /** Returns whether a complete request for the job reaches the only node within the given time. */
    private static boolean wasForwarded(SocketRig rig, double waitMs) {
        rig.advance(waitMs);
        boolean sent = false;
        for (Peer node = rig.nodes.get(0).poll();
                node != null;
                node = rig.nodes.get(0).poll()) {
            sent |= node.text().endsWith("\r\n\r\ntowels");
        }
        return sent;
    }

    /** Guards requests that are read after their client has disconnected: accepted late, or read late, with more bytes pipelined. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBeforeTheRequestIsRead(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            for (String pipelined : List.of("", job(className, "b"), "POST /pick", "x".repeat(5_000))) {
                for (boolean accepted : new boolean[] {false, true}) {
                    try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                        Peer client = rig.client();
                        if (accepted) {
                            rig.turnUntil("accepted", () -> rig.counters.get("net.accepted") == 1);
                        }
                        client.send(job(className, "a") + pipelined);
                        kind.disconnect(client);
                        assertThat(wasForwarded(rig, 1_000))
                                .as("%s with %s ahead", className, pipelined)
                                .isFalse();
                        assertThat(rig.counters.get("attempts.out")).isZero();
                        assertThat(rig.core.openJobCount()).isZero();
                    }
                }
            }
        }
    }

    /** Guards a client's end that lies behind more bytes than one turn reads, when its request is taken. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBehindMoreBytesThanOneTurnReads(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer client = rig.client();
                client.sendWithoutTurns(
                        job(className, "a") + job(className, "b").repeat(4_000));
                kind.disconnect(client);
                assertThat(wasForwarded(rig, 1_000)).as(className).isFalse();
                assertThat(rig.core.openJobCount()).isZero();
            }
        }
    }

    /** Guards a client's end behind requests sent ahead of an answer, of which some are not kept: it is noticed at once. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBehindRequestsAheadOfTheAnswer(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                rig.platform.applyFleetLine("{\"seq\":2,\"whole\":true,\"hosts\":[]}");
                Peer client = rig.client();
                client.send(job(className, "a"));
                rig.turnUntil("held", () -> rig.core.openJobCount() == 1);
                client.send(job(className, "b").repeat(4_000));
                kind.disconnect(client);
                rig.turnUntil("noticed", () -> rig.core.openJobCount() == 0);
                rig.platform.applyFleetLine("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "up") + "]}");
                assertThat(wasForwarded(rig, 1_000)).isFalse();
                assertThat(rig.counters.get("jobs.client_gone")).isEqualTo(1);
            }
        }
    }

    /** Guards a client's end behind a few bytes for which there is no memory left. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectWhileTheMemoryForClientsIsUsedUp(Disconnect kind) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            rig.platform.applyFleetLine("{\"seq\":2,\"whole\":true,\"hosts\":[]}");
            for (int i = 0; i < 40; i++) {
                rig.client()
                        .send(job("route-plan", "m" + i)
                                + job("route-plan", "n" + i).repeat(200));
            }
            Peer client = rig.client();
            client.send(job("pickup-order", "a"));
            rig.turnUntil("held", () -> rig.core.openJobCount() == 41);
            client.send(job("pickup-order", "b").repeat(100));
            kind.disconnect(client);
            rig.turnUntil("noticed", () -> rig.core.openJobCount() == 40);
            assertThat(rig.core.findJob("a")).isNull();
        }
    }

    /** Guards the wait for a node: none is listed when the client disconnects, and one is listed a moment later. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectWhileNoNodeIsAvailable(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                rig.platform.applyFleetLine("{\"seq\":2,\"whole\":true,\"hosts\":[]}");
                Peer client = rig.client();
                client.send(job(className, "a"));
                rig.turnUntil("held", () -> rig.core.openJobCount() == 1);
                kind.disconnect(client);
                rig.turnUntil("noticed", () -> rig.core.openJobCount() == 0);
                rig.platform.applyFleetLine("{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "up") + "]}");
                assertThat(wasForwarded(rig, 1_000)).isFalse();
                assertThat(rig.counters.get("jobs.client_gone")).isEqualTo(1);
            }
        }
    }

    /** Guards the time in which a node's connection is established, and the delay before an order's last byte. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBeforeTheLastByteIsWritten(Disconnect kind) throws IOException {
        for (boolean up : new boolean[] {false, true}) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer client = rig.client();
                client.send(job("pickup-order", "a"));
                rig.turnUntil("an attempt", () -> rig.counters.get("attempts.out") == 1);
                Peer node = up ? rig.nodes.get(0).accept() : null;
                if (up) {
                    node.expect("towel");
                }
                kind.disconnect(client);
                rig.turnUntil("noticed", () -> rig.core.openJobCount() == 0);
                assertThat(wasForwarded(rig, 1_000)).isFalse();
                if (up) {
                    rig.turnUntil("the node's connection ends", node::isClosed);
                    assertThat(node.text()).doesNotContain("s");
                }
            }
        }
    }

    /** Guards the wait between attempts: no further attempt is made after the client has disconnected. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBetweenAttempts(Disconnect kind) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("pickup-order", "a"));
            Peer node = rig.nodes.get(0).accept();
            rig.advanceUntil("the order", 50, () -> node.text().endsWith("towels"));
            node.send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            rig.turnUntil("turned away", () -> rig.counters.get("attempts.full") == 1);
            kind.disconnect(client);
            rig.turnUntil("noticed", () -> rig.core.openJobCount() == 0);
            assertThat(wasForwarded(rig, 3_000)).isFalse();
        }
    }

    /** Guards a pipelined request whose client disconnects as the first one is answered: it is never dispatched. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectWithASecondRequestBuffered(Disconnect kind) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("route-plan", "a") + job("pickup-order", "b"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towels");
            node.send(SocketRig.doneAnswer("a"));
            kind.disconnect(client); // the answer and the client's close cross
            assertThat(wasForwarded(rig, 1_000)).isFalse();
            assertThat(rig.counters.get("attempts.out")).isEqualTo(1);
        }
    }

    /** Guards a pause of the process: a node becomes available in the same turn as the client's close, which is not read yet. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectWhileTheLoopIsBlocked(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer node = openIdleConnectionToTheNode(rig);
                rig.platform.applyFleetLine(
                        "{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "draining") + "]}");
                Peer client = rig.client();
                client.send(job(className, "a"));
                rig.turnUntil("held", () -> rig.core.openJobCount() == 1);
                rig.schedule(10, () -> disconnect(kind, client));
                rig.schedule(
                        390,
                        () -> rig.platform.applyFleetLine(
                                "{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "up") + "]}"));
                rig.advanceInOneTurn(400);
                assertThat(rig.counters.get("attempts.out"))
                        .as("only the one before")
                        .isEqualTo(1);
                assertThat(wasForwarded(rig, 1_000)).isFalse();
                assertThat(node.text()).isEmpty();
                assertThat(rig.counters.get("jobs.client_gone")).isEqualTo(1);
                Peer nextClient = rig.client(); // and the dispatcher does not wait for the job that was never sent
                nextClient.send(job("route-plan", "z"));
                rig.turnUntil("it goes out", () -> rig.counters.get("attempts.out") == 2);
            }
        }
    }

    /** Guards the same pause for a Gearman client. */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"CLOSE", "RESET"})
    void disconnectOnTheGearmanFrontWhileTheLoopIsBlocked(Disconnect kind) throws IOException {
        for (String className : CLASSES) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                rig.platform.applyFleetLine(
                        "{\"seq\":2,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "draining") + "]}");
                Peer client = rig.gearmanClient();
                client.send(Packet.Type.SUBMIT_JOB, className, "", "towels");
                client.send(
                        Packet.Type.SUBMIT_JOB,
                        className,
                        "",
                        "towels"); // found disconnected by the check for the first
                rig.turnUntil("held", () -> rig.core.openJobCount() == 2);
                rig.schedule(10, () -> disconnect(kind, client));
                rig.schedule(
                        390,
                        () -> rig.platform.applyFleetLine(
                                "{\"seq\":3,\"whole\":true,\"hosts\":[" + rig.hostEntry(0, "up") + "]}"));
                rig.advanceInOneTurn(400);
                assertThat(rig.counters.get("attempts.out")).isZero();
                assertThat(wasForwarded(rig, 1_000)).isFalse();
                assertThat(rig.core.openJobCount()).isZero();
                assertThat(rig.counters.toString()).doesNotContain("guard.");
                for (int next = 1;
                        next <= 2;
                        next++) { // and the dispatcher does not wait for the jobs that were never sent
                    rig.client().send(job("route-plan", "z" + next));
                    int out = next;
                    rig.turnUntil("it goes out", () -> rig.counters.get("attempts.out") == out);
                }
            }
        }
    }

    /** Guards a Gearman client's end behind the packets that it sent after its job: few, more than a turn handles, or reads. */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"CLOSE", "RESET"})
    void disconnectOnTheGearmanFrontBehindUnreadPackets(Disconnect kind) throws IOException {
        for (int packets : new int[] {0, 1, 300, 20_000}) {
            try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
                Peer node = openIdleConnectionToTheNode(rig);
                Peer client = rig.gearmanClient();
                client.sendWithoutTurns(client.encode(Packet.Type.SUBMIT_JOB, "route-plan", "", "towels")
                        + client.encode(Packet.Type.ECHO_REQ, "behind").repeat(packets));
                kind.disconnect(client);
                rig.advance(1_000);
                assertThat(node.text()).as("%d packets behind", packets).isEmpty();
                assertThat(rig.core.openJobCount()).isZero();
            }
        }
    }

    /** Serves one job, so that a connection to the only node idles and the next job would be sent at once. */
    private static Peer openIdleConnectionToTheNode(SocketRig rig) throws IOException {
        Peer firstClient = rig.client();
        firstClient.send(job("route-plan", "w"));
        Peer node = rig.nodes.get(0).accept();
        node.expect("towels");
        node.send(SocketRig.doneAnswer("w"));
        firstClient.expect("r-w");
        return node;
    }

    /** Guards the same pause while an order's last byte is held back. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectDuringAPauseBeforeTheLastByte(Disconnect kind) throws IOException {
        try (SocketRig rig = new SocketRig(Scenario.SETTINGS, 1)) {
            Peer client = rig.client();
            client.send(job("pickup-order", "a"));
            Peer node = rig.nodes.get(0).accept();
            node.expect("towel");
            rig.schedule(1, () -> disconnect(kind, client));
            rig.advanceInOneTurn(400);
            rig.turnUntil("the node's connection ends", node::isClosed);
            assertThat(node.text()).as("the last byte").isEmpty();
            assertThat(rig.core.openJobCount()).isZero();
        }
    }

    private static void disconnect(Disconnect kind, Peer client) {
        try {
            kind.disconnect(client);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
