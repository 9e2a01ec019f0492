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
 * Runs a scheduler on real loopback connections with a clock that the test advances. The scheduler reads and writes
 * only when the test turns its loop, so that every run exchanges the same bytes. The test's thread also acts as the
 * clients, the nodes and discovery.
 */
public final class SocketRig implements AutoCloseable {
    /** The memory that all clients' connections may hold together, besides what each may always hold. */
    public static final long CLIENT_BYTES = 1 << 20;

    private static final long TIMEOUT_MS = 10_000;

    public double nowMs = 1_700_000_000_000.0;
    public final Counters counters = new Counters();
    public final List<String> log = new ArrayList<>();
    public final Listener discovery = new Listener();
    public final List<Listener> nodes = new ArrayList<>();
    public final SelectorLoop loop;
    public final DispatchCore core;
    public final Platform platform;
    private final LoopContext context;
    private final TimerWheel wheel = new TimerWheel(nowMs);
    private final List<Peer> peers = new ArrayList<>();
    private final NodeConfig config;
    /** Interval at which discovery sends empty lines on an open list request. */
    private static final double EMPTY_LINE_INTERVAL_MS = 2_000;

    private InetSocketAddress front;
    /** Discovery's end of the open list request that this rig keeps alive, or null. */
    private Peer discoveryWatch;

    private double nextEmptyLineMs;
    private boolean loopEnded;

    /** Starts a scheduler with this many nodes in its file; a list on request is answered as having no changes. */
    public SocketRig(String settings, int nodes) throws IOException {
        this(settings, nodes, settings.contains("on_request"));
    }

    /** Starts a scheduler with this many nodes in its file that discovery has not answered yet. */
    public static SocketRig withoutDiscovery(String settings, int nodes) throws IOException {
        return new SocketRig(settings, nodes, false);
    }

    private SocketRig(String settings, int nodes, boolean discoveryAnswers) throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            this.nodes.add(new Listener());
            hosts.append(i > 0 ? "," : "").append(hostEntry(i, "up"));
        }
        Json.Fields raw = Json.object("settings", settings.getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        config = new NodeConfig(
                "t",
                anyLoopbackPort(),
                discovery.address(),
                7,
                1024,
                SettingsReader.settings(raw),
                raw,
                known,
                null,
                null,
                null);
        loop = new SelectorLoop(() -> nowMs, wheel, counters, log::add);
        core = new DispatchCore(
                config.settings(),
                7,
                () -> nowMs,
                wheel,
                counters,
                new DispatchCore.Bounds(64, 1 << 20, 64, 1 << 20),
                log::add);
        context = new LoopContext(loop, () -> nowMs, wheel, counters, log::add);
        platform = new Platform(config, core, context, loop::lagMs, CLIENT_BYTES);
        platform.open((address, handlers, maxConnections, batched, unread, shed) -> {
            front = loop.listen(address, handlers, maxConnections, unread, shed).address();
            return front;
        });
        if (discoveryAnswers) {
            discoveryWatch = discovery.accept();
            nextEmptyLineMs = nowMs + EMPTY_LINE_INTERVAL_MS;
            discoveryWatch.expect("GET ");
            discoveryWatch.send(CHUNKED + chunk("{\"seq\":1,\"whole\":false,\"hosts\":[]}\n"));
            turnUntil("the node list", () -> counters.get("list.full") == 1);
        }
    }

    private static InetSocketAddress anyLoopbackPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Applies new settings in JSON to the core and the front, as at SIGHUP. */
    public void applySettings(String json) {
        core.retune(SettingsReader.settings(Json.object("settings", json.getBytes(StandardCharsets.UTF_8))));
        platform.reload(config);
    }

    /** A copy of the configuration with another discovery address, as after a reload. */
    public NodeConfig configWithDiscovery(InetSocketAddress discoveryAddress) {
        return new NodeConfig(
                config.name(),
                config.listen(),
                discoveryAddress,
                config.seed(),
                config.sockets(),
                config.settings(),
                config.rawSettings(),
                config.lastNodeList(),
                null,
                null,
                null);
    }

    /** The entry of the node list, in discovery's JSON, for a node of this rig. */
    public String hostEntry(int node, String health) {
        return "{\"host\":\"node" + node + "\",\"dial\":\"127.0.0.1:"
                + nodes.get(node).address().getPort() + "\",\"site\":\"p\",\"class\":\"k\",\"block\":0,\"health\":\""
                + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Opens a client's connection that the scheduler has not accepted yet. */
    public Peer client() throws IOException {
        return new Peer(SocketChannel.open(front));
    }

    /** Opens a Gearman client's connection, to a new Gearman front, that the scheduler has not accepted yet. */
    public Peer gearmanClient() throws IOException {
        NodeConfig gearmanConfig = new NodeConfig(
                config.name(),
                config.listen(),
                config.discovery(),
                config.seed(),
                config.sockets(),
                config.settings(),
                config.rawSettings(),
                config.lastNodeList(),
                GearmanConfig.withDefaults(null),
                null,
                null);
        GearmanFront gearman = new GearmanFront(gearmanConfig, "0", core, context, () -> {});
        return new Peer(SocketChannel.open(
                loop.listen(anyLoopbackPort(), gearman::accept, 8, () -> false).address()));
    }

    /** A client's HTTP request for a job; each extra field ends with CRLF. */
    public static String jobRequest(String jobClass, String id, String extraFields, String body) {
        return "POST /" + jobClass + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\n" + extraFields + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Encodes text as one chunk of a chunked answer. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The progress line by which a node reports a job as done. */
    public static String doneLine(String id, String result) {
        return "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + result + "\"}\n";
    }

    /** A node's whole answer for a job that is done. */
    public static String doneAnswer(String id) {
        return CHUNKED + chunk(doneLine(id, "r-" + id)) + "0\r\n\r\n";
    }

    /** The head of a chunked answer. */
    public static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Schedules an action on the loop's timer wheel, so that it runs between the loop's reads and its later timers. */
    public void schedule(double delayMs, Runnable action) {
        wheel.schedule(nowMs + delayMs, action);
    }

    /** Advances the clock in one step, followed by one turn of the loop. */
    public void advanceInOneTurn(double durationMs) {
        nowMs += durationMs;
        turn();
    }

    /** Turns the loop once without advancing the clock. */
    public void turn() {
        try {
            loop.turn(0);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Turns the loop without advancing the clock until the condition holds; fails after 10 s of real time. */
    public void turnUntil(String description, BooleanSupplier condition) {
        for (long end = System.nanoTime() + TIMEOUT_MS * 1_000_000; !condition.getAsBoolean(); Thread.onSpinWait()) {
            assertThat(System.nanoTime()).as(description + "; log " + log).isLessThan(end);
            turn();
        }
    }

    /** Advances the clock in steps of at most 2 ms with a turn of the loop after each. */
    public void advance(double durationMs) {
        for (double end = nowMs + durationMs; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + 2);
            if (discoveryWatch != null && nowMs >= nextEmptyLineMs) {
                nextEmptyLineMs += EMPTY_LINE_INTERVAL_MS;
                discoveryWatch.send(chunk("\n"));
            }
            turn();
        }
    }

    /**
     * Advances the clock in steps of 2 ms until the condition holds and returns the elapsed milliseconds; fails once
     * more than the maximum has passed.
     */
    public double advanceUntil(String description, double maxMs, BooleanSupplier condition) {
        double from = nowMs;
        while (!condition.getAsBoolean()) {
            assertThat(nowMs - from).as(description + "; log " + log).isLessThanOrEqualTo(maxMs);
            advance(2);
        }
        return nowMs - from;
    }

    /**
     * Runs the loop as the process does until the condition holds; the clock advances 10 ms each time it is checked.
     * Fails after 10 s of real time.
     */
    public void runUntilEnd(BooleanSupplier finished) throws IOException {
        loopEnded = true;
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        loop.run(() -> {
            nowMs += 10;
            return finished.getAsBoolean() || System.nanoTime() > end;
        });
        assertThat(System.nanoTime()).as("end of the loop; log " + log).isLessThan(end);
    }

    @Override
    public void close() throws IOException {
        for (Peer peer : peers) {
            peer.channel.close();
        }
        if (!loopEnded) {
            runUntilEnd(() -> true);
        }
        discovery.channel.close();
        for (Listener listener : nodes) {
            listener.channel.close();
        }
    }

    /** A listening socket that the scheduler connects to. */
    public final class Listener {
        private final ServerSocketChannel channel;

        Listener() throws IOException {
            channel = ServerSocketChannel.open().bind(anyLoopbackPort());
            channel.configureBlocking(false);
        }

        /** The address it listens at. */
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** Closes the socket, so that new connections are refused. */
        public void close() throws IOException {
            channel.close();
        }

        /** Accepts the next pending connection, or returns null if there is none. */
        public Peer poll() {
            try {
                SocketChannel accepted = channel.accept();
                return accepted == null ? null : new Peer(accepted);
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        /** Turns the loop until the scheduler connects and returns the connection. */
        public Peer accept() {
            Peer[] accepted = new Peer[1];
            turnUntil("a connection", () -> (accepted[0] = poll()) != null);
            return accepted[0];
        }
    }

    /** The test's end of a connection to the scheduler. */
    public final class Peer {
        private final SocketChannel channel;
        private final StringBuilder text = new StringBuilder();
        /** Whether the scheduler has closed its sending side. */
        public boolean inputEnded;
        /** Whether reading or writing has failed, as after a reset. */
        public boolean failed;

        Peer(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            peers.add(this);
        }

        /** Sets the receive buffer to 2048 bytes, so that the scheduler can write only little at a time. */
        public void limitReceiveBuffer() throws IOException {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, 2048);
        }

        /** Sends a Gearman request. */
        public void send(Packet.Type type, Object... arguments) {
            send(encode(type, arguments));
        }

        /** Returns a Gearman request as text of one character a byte. */
        public String encode(Packet.Type type, Object... arguments) {
            StringBuilder packet = new StringBuilder();
            for (ByteBuffer part : Packet.encode(Packet.REQUEST, type, arguments)) {
                packet.append(StandardCharsets.ISO_8859_1.decode(part));
            }
            return packet.toString();
        }

        /**
         * Sends the bytes, turning the loop while the socket's buffers are full. On loopback the scheduler can read them
         * when this returns.
         */
        public void send(String bytes) {
            try {
                ByteBuffer buffer = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
                while (buffer.hasRemaining()) {
                    if (channel.write(buffer) == 0) {
                        turn();
                    }
                }
            } catch (IOException exception) {
                failed = true;
            }
        }

        /** Sends the bytes without a turn of the loop, as many as the socket's buffers take. */
        public void sendWithoutTurns(String bytes) throws IOException {
            channel.write(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** Reads what has arrived and returns all text received since the last {@link #expect}. */
        public String text() {
            ByteBuffer buffer = ByteBuffer.allocate(4096);
            try {
                for (int n = channel.read(buffer);
                        n != 0 && !inputEnded && !failed;
                        n = inputEnded ? 0 : channel.read(buffer.clear())) {
                    inputEnded = n < 0;
                    text.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
                }
            } catch (IOException exception) {
                failed = true;
            }
            return text.toString();
        }

        /** Reads what has arrived; returns and clears the received text. */
        public String takeText() {
            String received = text();
            text.setLength(0);
            return received;
        }

        /** Turns the loop until the received text contains the given text; returns and clears the received text. */
        public String expect(String expected) {
            turnUntil("expecting " + expected + ", got " + text, () -> text().contains(expected));
            String received = text.toString();
            text.setLength(0);
            return received;
        }

        /** Whether the scheduler has closed its sending side or the connection has failed. */
        public boolean isClosed() {
            text();
            return inputEnded || failed;
        }

        /** Closes the sending side and keeps reading. */
        public void halfClose() throws IOException {
            channel.shutdownOutput();
        }

        /** Closes the connection normally. */
        public void close() throws IOException {
            channel.close();
        }

        /** Closes the connection with a reset. */
        public void reset() throws IOException {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
        }
    }
}
