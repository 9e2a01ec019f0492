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
 * A proxy of our own on each link between processes, on loopback: every ordered pair has a port, and what goes one way
 * over a link can be cut, delayed or narrowed, whoever has dialled, or its connections reset. What is cut is held, as a
 * network that drops packets and later delivers what was sent again; no new connection comes up while either way is cut.
 */
public final class FaultNet implements Closeable {
    private static final int MOST_HELD = 1 << 20;

    /** What is wrong with one way of a link. */
    private static final class Way {
        private volatile boolean cut;
        private volatile double delayMs;
        private volatile double bytesAMs = Double.POSITIVE_INFINITY;
    }

    private record Chunk(ByteBuffer bytes, double dueMs) {}

    private final Selector selector = Selector.open();
    private final Map<String, Way> ways = new HashMap<>();
    private final List<Connection> open = new ArrayList<>();
    private final List<String> resets = new ArrayList<>();
    private final Thread thread;
    private volatile boolean over;

    /** A net without links. */
    public FaultNet() throws IOException {
        thread = new Thread(this::run, "fault-net");
        thread.setDaemon(true);
        thread.start();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private Way way(String from, String to) {
        synchronized (ways) {
            return ways.computeIfAbsent(from + '>' + to, k -> new Way());
        }
    }

    /** Opens a port at which {@code from} reaches the port of {@code to}; returns it. */
    public int link(String from, String to, int target) throws IOException {
        ServerSocketChannel door = ServerSocketChannel.open();
        door.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        door.configureBlocking(false);
        synchronized (open) {
            selector.wakeup();
            door.register(selector, SelectionKey.OP_ACCEPT, (Runnable) () -> accept(door, from, to, target));
        }
        return ((InetSocketAddress) door.getLocalAddress()).getPort();
    }

    /** Cuts one way, or heals it. */
    public void cut(String from, String to, boolean cut) {
        way(from, to).cut = cut;
        selector.wakeup();
    }

    /** Delays one way by so many milliseconds. */
    public void delay(String from, String to, double ms) {
        way(from, to).delayMs = ms;
    }

    /** Lets through only so many bytes a second on one way. */
    public void narrow(String from, String to, double bytesAS) {
        way(from, to).bytesAMs = bytesAS / 1000;
    }

    /** Resets all connections that one has dialled to the other. */
    public void reset(String from, String to) {
        synchronized (resets) {
            resets.add(from + '>' + to);
        }
        selector.wakeup();
    }

    private void accept(ServerSocketChannel door, String from, String to, int target) {
        try {
            SocketChannel c = door.accept();
            if (c != null) {
                c.configureBlocking(false);
                c.setOption(StandardSocketOptions.TCP_NODELAY, true);
                open.add(new Connection(c, from, to, target));
            }
        } catch (IOException e) {
            // the dialler has gone again
        }
    }

    private final class Connection {
        private final String link;
        private final int target;
        private final SocketChannel near;
        private SocketChannel far;
        private final Pipe there;
        private final Pipe back;
        private boolean dead;

        Connection(SocketChannel near, String from, String to, int target) {
            this.near = near;
            this.link = from + '>' + to;
            this.target = target;
            there = new Pipe(way(from, to));
            back = new Pipe(way(to, from));
        }

        void turn() {
            try {
                if (far == null) {
                    if (there.way.cut || back.way.cut) {
                        return;
                    }
                    far = SocketChannel.open();
                    far.configureBlocking(false);
                    far.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    far.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), target));
                    far.register(selector, SelectionKey.OP_CONNECT, (Runnable) this::up);
                } else if (far.isConnected()) {
                    there.turn(near, far);
                    back.turn(far, near);
                    if (there.done && back.done) {
                        end();
                    }
                }
            } catch (IOException e) {
                end();
            }
        }

        private void up() {
            try {
                if (far.isConnected() || far.finishConnect()) {
                    near.register(selector, SelectionKey.OP_READ, (Runnable) () -> {});
                    far.register(selector, SelectionKey.OP_READ, (Runnable) () -> {});
                }
            } catch (IOException e) {
                end();
            }
        }

        void end() {
            dead = true;
            try {
                near.setOption(StandardSocketOptions.SO_LINGER, 0); // a reset, as of a broken connection
                near.close();
                if (far != null) {
                    far.setOption(StandardSocketOptions.SO_LINGER, 0);
                    far.close();
                }
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** One way of a connection. */
    private static final class Pipe {
        private final Way way;
        private final ArrayDeque<Chunk> held = new ArrayDeque<>();
        private int bytes;
        private boolean ended;
        private boolean done;
        private double paidUntilMs;

        Pipe(Way way) {
            this.way = way;
        }

        void turn(SocketChannel from, SocketChannel to) throws IOException {
            while (!ended && bytes < MOST_HELD) {
                ByteBuffer b = ByteBuffer.allocate(16 * 1024);
                int n = from.read(b);
                if (n < 0) {
                    ended = true;
                } else if (n == 0) {
                    break;
                } else {
                    bytes += n;
                    held.add(new Chunk(b.flip(), nowMs() + way.delayMs));
                }
            }
            double now = nowMs();
            while (!way.cut && !held.isEmpty() && held.peek().dueMs <= now && paidUntilMs <= now) {
                ByteBuffer b = held.peek().bytes;
                int n = to.write(b);
                bytes -= n;
                paidUntilMs = Math.max(now, paidUntilMs) + n / way.bytesAMs;
                if (b.hasRemaining()) {
                    break;
                }
                held.poll();
            }
            if (ended && held.isEmpty() && !done && !way.cut) {
                done = true;
                to.shutdownOutput();
            }
        }
    }

    private void run() {
        try {
            while (!over) {
                selector.select(2);
                synchronized (open) {
                    for (SelectionKey k : selector.selectedKeys()) {
                        if (k.isValid()) {
                            ((Runnable) k.attachment()).run();
                        }
                    }
                    selector.selectedKeys().clear();
                    List<String> broken;
                    synchronized (resets) {
                        broken = List.copyOf(resets);
                        resets.clear();
                    }
                    for (Connection c : open) {
                        if (broken.contains(c.link)) {
                            c.end();
                        } else {
                            c.turn();
                        }
                    }
                    open.removeIf(c -> c.dead);
                }
                if (!open.isEmpty()) {
                    Thread.sleep(
                            1); // connections that are cut stay readable: without this they would be asked all the time
                }
            }
            for (SelectionKey k : selector.keys()) {
                k.channel().close();
            }
            selector.close();
        } catch (IOException | InterruptedException e) {
            over = true;
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
