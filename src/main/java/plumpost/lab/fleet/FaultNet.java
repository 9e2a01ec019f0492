package plumpost.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * TCP proxy on loopback for the links between processes. Every ordered pair of processes has a port. Each direction of a
 * link can be cut, delayed or limited in rate, whichever side opened the connection, and its connections can be reset.
 * While a direction is cut its bytes are queued, as with a network that drops packets whose retransmissions arrive later.
 * No new connection is established while either direction is cut.
 */
public final class FaultNet implements Closeable {
    private static final int MAX_QUEUED_BYTES = 1 << 20;

    /** Faults of one direction of a link. */
    private static final class Direction {
        private volatile boolean cut;
        private volatile double delayMs;
        private volatile double bytesPerMs = Double.POSITIVE_INFINITY;
    }

    private record Chunk(ByteBuffer bytes, double dueMs) {}

    private final Selector selector = Selector.open();
    private final Map<String, Direction> directions = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private final List<String> resets = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;

    /** Starts a proxy without links. */
    public FaultNet() throws IOException {
        thread = new Thread(this::run, "fault-net");
        thread.setDaemon(true);
        thread.start();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private Direction direction(String from, String to) {
        synchronized (directions) {
            return directions.computeIfAbsent(from + '>' + to, k -> new Direction());
        }
    }

    /** Opens a port through which {@code from} reaches the port {@code target} of {@code to}; returns it. */
    public int openLink(String from, String to, int target) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        listener.configureBlocking(false);
        synchronized (connections) {
            selector.wakeup();
            listener.register(selector, SelectionKey.OP_ACCEPT, (Runnable) () -> accept(listener, from, to, target));
        }
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Cuts one direction, or restores it. */
    public void setCut(String from, String to, boolean cut) {
        direction(from, to).cut = cut;
        selector.wakeup();
    }

    /** Delays all bytes of one direction by {@code ms} milliseconds. */
    public void setDelay(String from, String to, double ms) {
        direction(from, to).delayMs = ms;
    }

    /** Limits one direction to {@code bytesPerS} bytes per second and connection. */
    public void limitRate(String from, String to, double bytesPerS) {
        direction(from, to).bytesPerMs = bytesPerS / 1000;
    }

    /** Resets all connections that {@code from} has opened to {@code to}. */
    public void resetConnections(String from, String to) {
        synchronized (resets) {
            resets.add(from + '>' + to);
        }
        selector.wakeup();
    }

    private void accept(ServerSocketChannel listener, String from, String to, int target) {
        try {
            SocketChannel channel = listener.accept();
            if (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                connections.add(new Connection(channel, from, to, target));
            }
        } catch (IOException e) {
            // the connecting side has already closed
        }
    }

    private final class Connection {
        private final String link;
        private final int target;
        private final SocketChannel inbound;
        private SocketChannel outbound;
        private final Pipe forward;
        private final Pipe backward;
        private boolean closed;

        Connection(SocketChannel inbound, String from, String to, int target) {
            this.inbound = inbound;
            this.link = from + '>' + to;
            this.target = target;
            forward = new Pipe(direction(from, to));
            backward = new Pipe(direction(to, from));
        }

        void transfer() {
            try {
                if (outbound == null) {
                    if (forward.direction.cut || backward.direction.cut) {
                        return;
                    }
                    outbound = SocketChannel.open();
                    outbound.configureBlocking(false);
                    outbound.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    outbound.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), target));
                    outbound.register(selector, SelectionKey.OP_CONNECT, (Runnable) this::onConnected);
                } else if (outbound.isConnected()) {
                    forward.transfer(inbound, outbound);
                    backward.transfer(outbound, inbound);
                    if (forward.outputShut && backward.outputShut) {
                        reset();
                    }
                }
            } catch (IOException e) {
                reset();
            }
        }

        private void onConnected() {
            try {
                if (outbound.isConnected() || outbound.finishConnect()) {
                    inbound.register(selector, SelectionKey.OP_READ, (Runnable) () -> {});
                    outbound.register(selector, SelectionKey.OP_READ, (Runnable) () -> {});
                }
            } catch (IOException e) {
                reset();
            }
        }

        void reset() {
            closed = true;
            try {
                inbound.setOption(StandardSocketOptions.SO_LINGER, 0); // close with RST, as a broken connection does
                inbound.close();
                if (outbound != null) {
                    outbound.setOption(StandardSocketOptions.SO_LINGER, 0);
                    outbound.close();
                }
            } catch (IOException e) {
                // the connection is closed either way
            }
        }
    }

    /** One direction of a connection. */
    private static final class Pipe {
        private final Direction direction;
        private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
        private int queuedBytes;
        private boolean inputEnded;
        private boolean outputShut;
        private double busyUntilMs;

        Pipe(Direction direction) {
            this.direction = direction;
        }

        void transfer(SocketChannel from, SocketChannel to) throws IOException {
            while (!inputEnded && queuedBytes < MAX_QUEUED_BYTES) {
                ByteBuffer buffer = ByteBuffer.allocate(16 * 1024);
                int count = from.read(buffer);
                if (count < 0) {
                    inputEnded = true;
                } else if (count == 0) {
                    break;
                } else {
                    queuedBytes += count;
                    queue.add(new Chunk(buffer.flip(), nowMs() + direction.delayMs));
                }
            }
            double now = nowMs();
            while (!direction.cut && !queue.isEmpty() && queue.peek().dueMs <= now && busyUntilMs <= now) {
                ByteBuffer buffer = queue.peek().bytes;
                int count = to.write(buffer);
                queuedBytes -= count;
                busyUntilMs = Math.max(now, busyUntilMs) + count / direction.bytesPerMs;
                if (buffer.hasRemaining()) {
                    break;
                }
                queue.poll();
            }
            if (inputEnded && queue.isEmpty() && !outputShut && !direction.cut) {
                outputShut = true;
                to.shutdownOutput();
            }
        }
    }

    private void run() {
        try {
            while (!closed) {
                selector.select(2);
                synchronized (connections) {
                    for (SelectionKey k : selector.selectedKeys()) {
                        if (k.isValid()) {
                            ((Runnable) k.attachment()).run();
                        }
                    }
                    selector.selectedKeys().clear();
                    List<String> linksToReset;
                    synchronized (resets) {
                        linksToReset = List.copyOf(resets);
                        resets.clear();
                    }
                    for (Connection connection : connections) {
                        if (linksToReset.contains(connection.link)) {
                            connection.reset();
                        } else {
                            connection.transfer();
                        }
                    }
                    connections.removeIf(connection -> connection.closed);
                }
                if (!connections.isEmpty()) {
                    Thread.sleep(1); // a cut connection stays readable and would make this loop spin
                }
            }
            for (SelectionKey k : selector.keys()) {
                k.channel().close();
            }
            selector.close();
        } catch (IOException | InterruptedException e) {
            closed = true;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
