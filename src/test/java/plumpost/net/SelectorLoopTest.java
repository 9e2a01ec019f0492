package plumpost.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.count.Counters;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** The event loop on real loopback sockets, at ports assigned by the system. */
class SelectorLoopTest {
    private final SystemClock clock = new SystemClock();
    private final Counters counters = new Counters();
    private final List<String> received = new ArrayList<>();

    /** Returns a handler that writes a greeting when connected, and records what it receives. */
    private ConnectionHandler recordingHandler(Connection connection, String greeting, Runnable beforeRecording) {
        return new ConnectionHandler() {
            @Override
            public void opened() {
                connection.write(ByteBuffer.wrap(greeting.getBytes(StandardCharsets.US_ASCII)));
            }

            @Override
            public void received(ByteBuffer in) {
                beforeRecording.run();
                received.add(StandardCharsets.US_ASCII.decode(in).toString());
            }

            @Override
            public void ended() {
                received.add("ended");
            }
        };
    }

    /** Guards against memory exhaustion by a peer that reads nothing: its connection is closed at the limit of unread bytes. */
    @Test
    @Timeout(20)
    void aPeerThatReadsNothingIsDisconnected() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, received::add);
        try (java.net.ServerSocket peer = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ByteBuffer payload = ByteBuffer.allocate(1 << 16);
            loop.dial((InetSocketAddress) peer.getLocalSocketAddress(), connection -> {
                for (int i = 0; i < 40; i++) {
                    connection.write(payload);
                }
                return recordingHandler(connection, "", () -> {});
            });
            loop.run(() -> received.contains("ended"));
        }
        assertThat(counters.get("net.unread")).isPositive();
    }

    /**
     * Guards the process against an error in one timer or connection, such as a lack of memory: it left the loop, and every open
     * job with it. Now that one connection ends, and it is counted and logged.
     */
    @Test
    @Timeout(20)
    void anErrorInOneStepDoesNotEndTheLoop() throws Exception {
        TimerWheel wheel = new TimerWheel(clock.nowMs());
        List<String> log = new ArrayList<>();
        SelectorLoop loop = new SelectorLoop(clock, wheel, counters, log::add);
        var listener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                connection -> recordingHandler(connection, "", () -> {
                    throw new OutOfMemoryError("of one connection");
                }),
                8,
                () -> false);
        loop.dial(listener.address(), connection -> recordingHandler(connection, "hello", () -> {}));
        wheel.schedule(clock.nowMs() + 4, () -> {
            throw new OutOfMemoryError("of one timer");
        });
        loop.execute(() -> {
            throw new NoClassDefFoundError("of one task");
        });
        loop.run(() -> counters.get("net.fault") == 3);
        assertThat(log).anyMatch(line -> line.contains("of one timer"));
        assertThat(log).anyMatch(line -> line.contains("of one connection"));
        assertThat(log).anyMatch(line -> line.contains("of one task"));
        assertThat(received).as("the connection ends").contains("ended");
    }

    /** Guards new connections at the maximum: each replaces one that is shed, and none is shed without need. */
    @Test
    @Timeout(20)
    void aNewConnectionReplacesAShedOne() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, line -> {});
        List<Connection> connections = new ArrayList<>();
        var listener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                connection -> {
                    connections.add(connection);
                    return recordingHandler(connection, "", () -> {});
                },
                2,
                () -> {
                    connections.remove(0).closeNow();
                    return true;
                });
        for (int i = 0; i < 5; i++) {
            loop.dial(listener.address(), connection -> recordingHandler(connection, "", () -> {}));
        }
        double deadlineMs = clock.nowMs() + 10_000;
        loop.run(() -> counters.get("net.accepted") == 5 || clock.nowMs() > deadlineMs);
        assertThat(counters.get("net.accepted")).isEqualTo(5);
        assertThat(connections)
                .hasSizeBetween(2, 3); // one connection beyond the maximum is accepted before another is shed
    }

    /** Guards timers against a burst of connections: one turn accepts a part of them, and later turns the others. */
    @Test
    @Timeout(20)
    void aBurstOfConnectionsIsAcceptedOverSeveralTurns() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, line -> {});
        var listener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                connection -> recordingHandler(connection, "", () -> {}),
                1_000,
                () -> false);
        List<SocketChannel> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            clients.add(SocketChannel.open(listener.address()));
        }
        loop.turn(0);
        assertThat(counters.get("net.accepted")).isBetween(1L, 64L);
        loop.run(() -> counters.get("net.accepted") == 200);
        for (SocketChannel client : clients) {
            client.close();
        }
    }

    /**
     * Guards against a nested read that overwrites the buffer of the outer one. Dispatching a client's request reads another
     * connection first; with a shared buffer the same request was taken repeatedly (724 sends after the answer).
     */
    @Test
    @Timeout(20)
    void aNestedReadLeavesTheOuterBufferIntact() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, received::add);
        List<Connection> connections = new ArrayList<>();
        var listener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                connection -> {
                    connections.add(connection);
                    return recordingHandler(connection, "", () -> connections.forEach(Connection::readAvailable));
                },
                8,
                () -> false);
        loop.dial(listener.address(), connection -> recordingHandler(connection, "one", () -> {}));
        loop.dial(listener.address(), connection -> recordingHandler(connection, "two", () -> {}));
        loop.run(() -> received.size() == 2);
        assertThat(received).containsExactlyInAnyOrder("one", "two");
        assertThat(counters.get("net.fault")).isZero();
    }
}
