package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.config.SettingsReader;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.Network;
import plumpost.time.TimerWheel;

/** A scheduler in memory with a clock of its own, whose workers answer every request at once as {@link #answers} decides. */
final class MemoryFront {
    private static final int DISCOVERY_PORT = 8500;
    private static final int WORKERS = 8;
    private static final Pattern ID = Pattern.compile("\r\nX-Txn: ([!-~]+)\r\n");
    private static final Pattern LENGTH = Pattern.compile("\r\nContent-Length: ([0-9]+)\r\n");
    private static final double STEP_MS = 20;

    final Counters counters = new Counters();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private final Platform platform;
    private final TimerWheel wheel;
    private final Function<String, String> answers;
    private double nowMs = 1_700_000_000_000.0;

    /** Starts a scheduler; {@code answers} returns the worker's whole HTTP answer to the request with an id. */
    MemoryFront(Function<String, String> answers) {
        this.answers = answers;
        wheel = new TimerWheel(nowMs);
        StringBuilder hosts = new StringBuilder();
        for (int i = 1; i <= WORKERS; i++) {
            hosts.append(i > 1 ? "," : "").append(Scenario.hostEntry(i, "up", 0));
        }
        Json.Fields raw = Json.object("settings", Scenario.SETTINGS.getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        NodeConfig config = new NodeConfig(
                "t",
                new InetSocketAddress("127.0.0.1", 1),
                new InetSocketAddress("127.0.0.1", DISCOVERY_PORT),
                7,
                1024,
                SettingsReader.settings(raw),
                raw,
                known,
                null,
                null,
                null);
        DispatchCore core = new DispatchCore(
                config.settings(),
                7,
                () -> nowMs,
                wheel,
                counters,
                new DispatchCore.Bounds(64, 1 << 20, 64, 1 << 20),
                line -> {});
        Network network = new Network() {
            @Override
            public Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
                Peer peer = address.getPort() == DISCOVERY_PORT ? new DiscoveryPeer() : new WorkerPeer();
                peer.handler = handlers.apply(peer);
                events.add(peer::open);
                return peer;
            }

            @Override
            public void runNextTurn(Runnable task) {
                events.add(task);
            }
        };
        platform = new Platform(
                config, core, new LoopContext(network, () -> nowMs, wheel, counters, line -> {}), () -> 0, 1 << 20);
        platform.start();
        platform.ready();
        runEvents();
    }

    private void runEvents() {
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            event.run();
        }
    }

    /** Advances the clock by one step. */
    void advance() {
        nowMs += STEP_MS;
        wheel.advanceTo(nowMs);
        runEvents();
    }

    double nowMs() {
        return nowMs;
    }

    /** Opens a client's connection. */
    ClientPeer connect() {
        ClientPeer client = new ClientPeer();
        client.handler = platform.accept(client);
        client.isOpen = true;
        return client;
    }

    /** The other end of a connection of the scheduler, as the scheduler sees it. */
    private abstract class Peer implements Connection {
        ConnectionHandler handler;
        boolean isOpen;
        boolean closed;
        final StringBuilder received = new StringBuilder();

        void open() {
            if (!closed) {
                isOpen = true;
                handler.opened();
                handler.flushed();
                react();
            }
        }

        /** Reacts to what the scheduler has written. */
        abstract void react();

        void deliver(String bytes) {
            if (!closed) {
                handler.received(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
            }
        }

        @Override
        public void write(ByteBuffer... parts) {
            for (ByteBuffer part : parts) {
                received.append(StandardCharsets.ISO_8859_1.decode(part.duplicate()));
            }
            if (isOpen) {
                events.add(() -> {
                    if (!closed) {
                        handler.flushed();
                    }
                });
                events.add(this::react);
            }
        }

        @Override
        public boolean flushed() {
            return isOpen;
        }

        @Override
        public void finish() {
            closed = true;
        }

        @Override
        public void closeNow() {
            closed = true;
        }

        @Override
        public boolean readAvailable() {
            return true;
        }
    }

    private final class DiscoveryPeer extends Peer {
        @Override
        void react() {
            if (received.indexOf("\r\n\r\n") >= 0) {
                received.setLength(0);
                deliver(SocketRig.CHUNKED + SocketRig.chunk("{\"seq\":1,\"whole\":false,\"hosts\":[]}\n"));
            }
        }
    }

    private final class WorkerPeer extends Peer {
        @Override
        void react() {
            Matcher id = ID.matcher(received);
            Matcher length = LENGTH.matcher(received);
            int headEnd = received.indexOf("\r\n\r\n") + 4;
            if (headEnd < 4) {
                return;
            }
            if (!id.find() || !length.find()) {
                received.setLength(0);
                deliver("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); // a probe
            } else if (received.length() >= headEnd + Integer.parseInt(length.group(1))) {
                String name = id.group(1);
                received.setLength(0);
                deliver(answers.apply(name));
            }
        }
    }

    /** A client, which sends bytes in pieces. */
    final class ClientPeer extends Peer {
        @Override
        void react() {}

        /** Sends a piece; returns at once. */
        void send(String piece) {
            deliver(piece);
            runEvents();
        }

        /** Returns all that the client has received. */
        String text() {
            return received.toString();
        }

        boolean isClosed() {
            return closed;
        }

        /** Closes the connection. */
        void close() {
            if (!closed) {
                closed = true;
                handler.ended();
                runEvents();
            }
        }
    }
}
