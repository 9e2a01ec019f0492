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

/** The driver on real loopback sockets, at ports that the system gives. */
class SelectorLoopTest {
    private final SystemClock clock = new SystemClock();
    private final Counters counters = new Counters();
    private final List<String> heard = new ArrayList<>();

    /** Writes its greeting once it is up, and keeps what it hears. */
    private ConnectionHandler user(Connection wire, String greeting, Runnable first) {
        return new ConnectionHandler() {
            @Override
            public void opened() {
                wire.write(ByteBuffer.wrap(greeting.getBytes(StandardCharsets.US_ASCII)));
            }

            @Override
            public void bytes(ByteBuffer in) {
                first.run();
                heard.add(StandardCharsets.US_ASCII.decode(in).toString());
            }

            @Override
            public void ended() {
                heard.add("ended");
            }
        };
    }

    /** Guards the memory against a peer that reads nothing: its connection ends once too much waits for it. */
    @Test
    @Timeout(20)
    void aPeerThatReadsNothingIsEnded() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, heard::add);
        try (java.net.ServerSocket deaf = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ByteBuffer much = ByteBuffer.allocate(1 << 16);
            loop.dial((InetSocketAddress) deaf.getLocalSocketAddress(), w -> {
                for (int i = 0; i < 40; i++) {
                    w.write(much);
                }
                return user(w, "", () -> {});
            });
            loop.run(() -> heard.contains("ended"));
        }
        assertThat(counters.of("net.unread")).isPositive();
    }

    /** Guards newcomers at the bound: each gets the place of one that is shed, and none is shed without need. */
    @Test
    @Timeout(20)
    void aNewcomerGetsThePlaceOfOneThatIsShed() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, words -> {});
        List<Connection> places = new ArrayList<>();
        var door = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                w -> {
                    places.add(w);
                    return user(w, "", () -> {});
                },
                2,
                () -> {
                    places.remove(0).cut();
                    return true;
                });
        for (int i = 0; i < 5; i++) {
            loop.dial(door.address(), w -> user(w, "", () -> {}));
        }
        double end = clock.nowMs() + 10_000;
        loop.run(() -> counters.of("net.accepted") == 5 || clock.nowMs() > end);
        assertThat(counters.of("net.accepted")).isEqualTo(5);
        assertThat(places).hasSizeBetween(2, 3); // the last place is given before the next newcomer is known
    }

    /** Guards timers against a flood of newcomers: one turn takes a part of them, and the others come in later ones. */
    @Test
    @Timeout(20)
    void aFloodOfNewcomersIsTakenOverSeveralTurns() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, words -> {});
        var listener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                connection -> user(connection, "", () -> {}),
                1_000,
                () -> false);
        List<SocketChannel> flood = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            flood.add(SocketChannel.open(listener.address()));
        }
        loop.turn(0);
        assertThat(counters.of("net.accepted")).isBetween(1L, 64L);
        loop.run(() -> counters.of("net.accepted") == 200);
        for (SocketChannel client : flood) {
            client.close();
        }
    }

    /**
     * Guards against a reading that empties the buffer of the one around it: a front desk's request was taken again
     * and again because sending it looked at another connection first (calm day, 724 sends after the answer).
     */
    @Test
    @Timeout(20)
    void aLookInsideAReadingLeavesItsBytesAlone() throws Exception {
        SelectorLoop loop = new SelectorLoop(clock, new TimerWheel(clock.nowMs()), counters, heard::add);
        List<Connection> wires = new ArrayList<>();
        var door = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                w -> {
                    wires.add(w);
                    return user(w, "", () -> wires.forEach(Connection::look));
                },
                8,
                () -> false);
        loop.dial(door.address(), w -> user(w, "one", () -> {}));
        loop.dial(door.address(), w -> user(w, "two", () -> {}));
        loop.run(() -> heard.size() == 2);
        assertThat(heard).containsExactlyInAnyOrder("one", "two");
        assertThat(counters.of("net.fault")).isZero();
    }
}
