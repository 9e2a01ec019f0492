package plumpost;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.config.SettingsReader;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.gearman.GearmanFront;
import plumpost.gearman.Packet;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.platform.Platform;
import plumpost.time.TimerWheel;

/**
 * A scheduler on real loopback connections whose clock the test turns: it reads and writes only while the test lets
 * it, so that what crosses on the wire crosses every time. One thread plays clients, nodes and discovery as well.
 */
public final class SocketRig implements AutoCloseable {
    private static final long PATIENCE_MS = 10_000;

    public double now = 1_700_000_000_000.0;
    public final Counters counters = new Counters();
    public final List<String> log = new ArrayList<>();
    public final Listener discovery = new Listener();
    public final List<Listener> nodes = new ArrayList<>();
    public final SelectorLoop loop;
    public final DispatchCore room;
    public final Platform platform;
    private final LoopContext kit;
    private final TimerWheel wheel = new TimerWheel(now);
    private final List<Peer> peers = new ArrayList<>();
    private final NodeConfig config;
    /** Discovery's empty lines come on an open watch at this interval. */
    private static final double EMPTY_LINE_MS = 2_000;

    private InetSocketAddress front;
    /** Discovery's end of the watch that this rig keeps open, or null. */
    private Peer watch;

    private double emptyLineAt;
    private boolean over;

    /** A scheduler that knows so many nodes from its file, and has heard from discovery that nothing has changed since. */
    public SocketRig(String settings, int nodes) throws IOException {
        this(settings, nodes, settings.contains("on_request"));
    }

    /** A scheduler that knows so many nodes from its file, and has not heard from discovery. */
    public static SocketRig unanswered(String settings, int nodes) throws IOException {
        return new SocketRig(settings, nodes, false);
    }

    private SocketRig(String settings, int nodes, boolean answered) throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            this.nodes.add(new Listener());
            hosts.append(i > 0 ? "," : "").append(host(i, "up"));
        }
        Json.Fields raw = Json.object("settings", settings.getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        config = new NodeConfig(
                "t",
                anywhere(),
                discovery.address(),
                7,
                1024,
                SettingsReader.settings(raw),
                raw,
                known,
                null,
                null,
                null);
        loop = new SelectorLoop(() -> now, wheel, counters, log::add);
        room = new DispatchCore(
                config.settings(),
                7,
                () -> now,
                wheel,
                counters,
                new DispatchCore.Bounds(64, 1 << 20, 64, 1 << 20),
                log::add);
        kit = new LoopContext(loop, () -> now, wheel, counters, log::add);
        platform = new Platform(config, room, kit, loop::lagMs);
        platform.open((at, users, most, batched, unread, shed) -> {
            front = loop.listen(at, users, most, unread, shed).address();
            return front;
        });
        if (answered) {
            watch = discovery.accept();
            emptyLineAt = now + EMPTY_LINE_MS;
            watch.expect("GET ");
            watch.send(CHUNKED + chunk("{\"seq\":1,\"whole\":false,\"hosts\":[]}\n"));
            until("the list", () -> counters.of("list.full") == 1);
        }
    }

    private static InetSocketAddress anywhere() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** The configuration read anew, with discovery at another address. */
    public NodeConfig config(InetSocketAddress elsewhere) {
        return new NodeConfig(
                config.name(),
                config.listen(),
                elsewhere,
                config.seed(),
                config.sockets(),
                config.settings(),
                config.raw(),
                config.known(),
                null,
                null,
                null);
    }

    /** A line of the node list on a node of this rig. */
    public String host(int node, String health) {
        return "{\"host\":\"node" + node + "\",\"dial\":\"127.0.0.1:"
                + nodes.get(node).address().getPort() + "\",\"site\":\"p\",\"class\":\"k\",\"block\":0,\"health\":\""
                + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** A client's connection; the scheduler has not accepted it yet. */
    public Peer client() throws IOException {
        return new Peer(SocketChannel.open(front));
    }

    /** A Gearman client's connection; the scheduler has not accepted it yet. */
    public Peer gearmanClient() throws IOException {
        NodeConfig withGearman = new NodeConfig(
                config.name(),
                config.listen(),
                config.discovery(),
                config.seed(),
                config.sockets(),
                config.settings(),
                config.raw(),
                config.known(),
                GearmanConfig.usual(null),
                null,
                null);
        GearmanFront gearman = new GearmanFront(withGearman, "0", room, kit, () -> {});
        return new Peer(SocketChannel.open(
                loop.listen(anywhere(), gearman::accept, 8, () -> false).address()));
    }

    /** A request for a job as a client sends it. */
    public static String job(String cls, String id, String more, String body) {
        return "POST /" + cls + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\n" + more + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** A chunk of an answer. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A node's last line of a job. */
    public static String line(String id, String result) {
        return "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + result + "\"}\n";
    }

    /** What a node says of a job, from the head of its answer to its end. */
    public static String done(String id) {
        return CHUNKED + chunk(line(id, "r-" + id)) + "0\r\n\r\n";
    }

    /** The head of an answer in chunks. */
    public static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Has something happen on the wire at a time, between what the loop reads and what its timers do. */
    public void after(double ms, Runnable what) {
        wheel.at(now + ms, what);
    }

    /** Much time passes in a single turn. */
    public void jump(double ms) {
        now += ms;
        turn();
    }

    /** One turn of the loop, without any time passing. */
    public void turn() {
        try {
            loop.turn(0);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Turns the loop, with the clock at rest, until something holds; real time bounds it widely. */
    public void until(String what, BooleanSupplier holds) {
        for (long end = System.nanoTime() + PATIENCE_MS * 1_000_000; !holds.getAsBoolean(); Thread.onSpinWait()) {
            assertThat(System.nanoTime()).as(what + "; log " + log).isLessThan(end);
            turn();
        }
    }

    /** Lets time pass, by steps of 2 ms with a turn each. */
    public void pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 2);
            if (watch != null && now >= emptyLineAt) {
                emptyLineAt += EMPTY_LINE_MS;
                watch.send(chunk("\n"));
            }
            turn();
        }
    }

    /** Time passes, a little at a time, until something holds; returns how much. */
    public double passUntil(String what, double mostMs, BooleanSupplier holds) {
        double from = now;
        while (!holds.getAsBoolean()) {
            assertThat(now - from).as(what + "; log " + log).isLessThanOrEqualTo(mostMs);
            pass(2);
        }
        return now - from;
    }

    /** Runs the loop as the process does until it is over; between its turns the test looks on and time passes. */
    public void end(BooleanSupplier until) throws IOException {
        over = true;
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
        loop.run(() -> {
            now += 10;
            return until.getAsBoolean() || System.nanoTime() > end;
        });
        assertThat(System.nanoTime()).as("the end; log " + log).isLessThan(end);
    }

    @Override
    public void close() throws IOException {
        for (Peer p : peers) {
            p.channel.close();
        }
        if (!over) {
            end(() -> true);
        }
        discovery.channel.close();
        for (Listener l : nodes) {
            l.channel.close();
        }
    }

    /** Where the scheduler connects to. */
    public final class Listener {
        private final ServerSocketChannel channel;

        Listener() throws IOException {
            channel = ServerSocketChannel.open().bind(anywhere());
            channel.configureBlocking(false);
        }

        /** Where it listens. */
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** Refuses connections from now on. */
        public void close() throws IOException {
            channel.close();
        }

        /** The next connection that has come, or null. */
        public Peer poll() {
            try {
                SocketChannel c = channel.accept();
                return c == null ? null : new Peer(c);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /** The next connection, which the scheduler is given turns to open. */
        public Peer accept() {
            Peer[] p = new Peer[1];
            until("a connection", () -> (p[0] = poll()) != null);
            return p[0];
        }
    }

    /** The other end of one of the scheduler's connections. */
    public final class Peer {
        private final SocketChannel channel;
        private final StringBuilder text = new StringBuilder();
        /** The scheduler has ended its sending. */
        public boolean ended;
        /** The connection was reset. */
        public boolean reset;

        Peer(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            peers.add(this);
        }

        /** Takes only a little at a time. */
        public void narrow() throws IOException {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, 2048);
        }

        /** Sends a Gearman request. */
        public void send(Packet.Type type, Object... arguments) {
            for (ByteBuffer part : Packet.bytes(Packet.REQUEST, type, arguments)) {
                send(StandardCharsets.ISO_8859_1.decode(part).toString());
            }
        }

        /** Sends bytes; they lie at the scheduler when this returns. */
        public void send(String bytes) {
            try {
                ByteBuffer b = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
                while (b.hasRemaining()) {
                    if (channel.write(b) == 0) {
                        turn();
                    }
                }
            } catch (IOException e) {
                reset = true;
            }
        }

        /** All that has come so far. */
        public String text() {
            ByteBuffer in = ByteBuffer.allocate(4096);
            try {
                for (int n = channel.read(in); n != 0 && !ended && !reset; n = ended ? 0 : channel.read(in.clear())) {
                    ended = n < 0;
                    text.append(StandardCharsets.ISO_8859_1.decode(in.flip()));
                }
            } catch (IOException e) {
                reset = true;
            }
            return text.toString();
        }

        /** What has come, once it holds the given words; it is then forgotten. */
        public String expect(String words) {
            until("expecting " + words + ", got " + text, () -> text().contains(words));
            String all = text.toString();
            text.setLength(0);
            return all;
        }

        /** Whether either end of the connection is over for the scheduler's peer. */
        public boolean over() {
            text();
            return ended || reset;
        }

        /** Ends the sending and keeps reading. */
        public void halfClose() throws IOException {
            channel.shutdownOutput();
        }

        /** Ends the connection in order. */
        public void close() throws IOException {
            channel.close();
        }

        /** Ends the connection by a reset. */
        public void reset() throws IOException {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
        }
    }
}
