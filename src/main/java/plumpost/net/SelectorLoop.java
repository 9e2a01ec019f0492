package plumpost.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import plumpost.count.Counters;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/** The thin driver: one thread, one selector, all sockets, and the timer wheel turned between them. */
public final class SelectorLoop implements Network {
    private static final double LONGEST_SLEEP_MS = 500;
    private static final double LINGER_MS = 500;
    private static final double RETRY_MS = 50;
    /** Newcomers that a listener takes in one turn: timers and other connections come between a flood of them. */
    private static final int MOST_ACCEPTED = 64;

    private static final int BUFFER = 64 * 1024;
    private static final int MOST_UNREAD = 2 << 20;
    /** What a read returns at the end of a connection. */
    private static final int END = -1;

    private static final int LONGEST_ERROR_NAME = 40;
    /** Accepting is tried again at {@link #RETRY_MS}: without another failure for so long, nobody waits from then on. */
    private static final double FAILURE_FORGOTTEN_MS = 500;

    /** Reads of a whole buffer at a close: more is a flood, whose sender may be reset. */
    private static final int MOST_AWAY = 16;

    private final Selector selector;
    private final Clock clock;
    private final TimerWheel wheel;
    private final Counters counters;
    private final Consumer<String> log;
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private final ByteBuffer together = ByteBuffer.allocateDirect(BUFFER);
    private final ArrayDeque<Socket> toWrite = new ArrayDeque<>();
    private final ArrayDeque<Runnable> soon = new ArrayDeque<>();
    /** Those of listeners that end in order, until they are closed. */
    private final Set<Socket> ending = new LinkedHashSet<>();

    private final ConcurrentLinkedQueue<Runnable> fromOutside = new ConcurrentLinkedQueue<>();
    private double lookedAt;

    /** A loop with no socket yet. */
    public SelectorLoop(Clock clock, TimerWheel wheel, Counters counters, Consumer<String> log) throws IOException {
        this.selector = Selector.open();
        this.clock = clock;
        this.wheel = wheel;
        this.counters = counters;
        this.log = log;
        this.lookedAt = clock.nowMs();
    }

    /**
     * Runs until told to stop, then ends all connections. One that was ended in order is waited for until its last
     * bytes are written and its peer has had time to read them; whoever comes meanwhile is served first.
     */
    public void run(BooleanSupplier until) throws IOException {
        double over = Double.NaN;
        for (boolean still = false; !still; ) {
            while (!until.getAsBoolean()) {
                over = Double.NaN;
                turn(LONGEST_SLEEP_MS);
            }
            over = Double.isNaN(over) ? clock.nowMs() + LINGER_MS : over;
            turn(ending.isEmpty() || clock.nowMs() >= over ? 0 : over - clock.nowMs()); // who is at the door already
            still = until.getAsBoolean() && (ending.isEmpty() || clock.nowMs() >= over);
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    /** One turn: waits for sockets no longer than given or than until the next timer, and does what is due. */
    public void turn(double longestMs) throws IOException {
        double now = clock.nowMs();
        double sleep = soon.isEmpty() ? wheel.quietUntil(now, longestMs) - now : 0;
        if (sleep <= 0) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(sleep));
        }
        double woke = clock.nowMs();
        for (SelectionKey key : selector.selectedKeys()) {
            guarded(() -> ((Ready) key.attachment()).ready(key));
        }
        selector.selectedKeys().clear();
        lookedAt = woke;
        guarded(() -> wheel.turnTo(clock.nowMs()));
        for (Runnable r = fromOutside.poll(); r != null; r = fromOutside.poll()) {
            guarded(r);
        }
        for (int n = soon.size(); n > 0; n--) {
            guarded(soon.poll());
        }
        for (Socket s = toWrite.poll(); s != null; s = toWrite.poll()) {
            guarded(s::writeOut);
        }
    }

    /** How long ago sockets were last looked at: what is read now may have come that much earlier. */
    public double lagMs() {
        return clock.nowMs() - lookedAt;
    }

    /** Has something run on the loop's thread, from any thread. */
    public void onLoop(Runnable what) {
        fromOutside.add(what);
        selector.wakeup();
    }

    /** No peer's bytes and no fault of one connection may stop the loop. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            counters.count("net.fault");
            log.accept("fault on the loop: " + fault + " at "
                    + (fault.getStackTrace().length == 0 ? "?" : fault.getStackTrace()[0]));
        }
    }

    /** An error of the system in a counter's name, such as {@code connection_reset_by_peer}; the JDK tells it in words. */
    private static String errorName(IOException e) {
        String words = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        String name = words.toLowerCase(Locale.ROOT).replaceAll("[^a-z]+", "_");
        return name.substring(0, Math.min(name.length(), LONGEST_ERROR_NAME));
    }

    private interface Ready {
        void ready(SelectionKey key);
    }

    /**
     * Listens; the returned handle ends that. Where a newcomer finds all places taken, {@code shed} may end one of the
     * connections that matter least, and says whether it did.
     */
    public Listener listen(
            InetSocketAddress at, Function<Connection, ConnectionHandler> users, int most, BooleanSupplier shed)
            throws IOException {
        return listen(at, users, most, MOST_UNREAD, shed);
    }

    /** The same with a bound on the bytes that a peer may leave unread. */
    public Listener listen(
            InetSocketAddress at,
            Function<Connection, ConnectionHandler> users,
            int most,
            long unreadBytes,
            BooleanSupplier shed)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, 512);
        return adopt(channel, users, most, unreadBytes, shed);
    }

    /**
     * Serves a socket that listens already, such as one inherited from the platform and shared with another process:
     * closing it here ends only this process's hold on it.
     */
    public Listener adopt(
            ServerSocketChannel channel,
            Function<Connection, ConnectionHandler> users,
            int most,
            long unreadBytes,
            BooleanSupplier shed)
            throws IOException {
        channel.configureBlocking(false);
        return new Listener(channel, users, most, unreadBytes, shed);
    }

    /**
     * A listening socket; at most so many of its connections are open at once. A newcomer gets the place of one that
     * has been answered for good and only lingers, else of one that its user sheds; else it waits in the backlog.
     */
    public final class Listener implements Ready {
        private final ServerSocketChannel channel;
        private final Function<Connection, ConnectionHandler> users;
        private final int most;
        private final long unreadBytes;
        private final BooleanSupplier shed;
        private final SelectionKey key;
        private final ArrayDeque<Socket> lingering = new ArrayDeque<>();
        private int open;
        private boolean batched;
        /** Since when accepting fails, or NaN: who is accepted next may have stood in the backlog since then. */
        private double failingSince = Double.NaN;

        private double failedAt;

        private Listener(
                ServerSocketChannel channel,
                Function<Connection, ConnectionHandler> users,
                int most,
                long unreadBytes,
                BooleanSupplier shed)
                throws IOException {
            this.channel = channel;
            this.users = users;
            this.most = most;
            this.unreadBytes = unreadBytes;
            this.shed = shed;
            key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
        }

        /** From here on what is written to its connections goes out once a turn: fewer calls, a turn later. */
        public Listener batched() {
            batched = true;
            return this;
        }

        /** Where it listens. */
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** Takes no more connections. */
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                log.accept("closing a listener: " + e.getMessage());
            }
        }

        @Override
        public void ready(SelectionKey k) {
            try {
                for (int accepted = 0; accepted < MOST_ACCEPTED; accepted++) {
                    SocketChannel newcomer = accept();
                    if (newcomer == null) {
                        if (accepted > 0) {
                            failingSince = Double.NaN; // nobody waits any more
                        } // else the call may have been interrupted, which the JDK tells in the same way
                        return;
                    }
                    take(newcomer);
                }
            } catch (IOException e) {
                // Out of descriptors or the like: look again in a while instead of spinning on a ready key.
                counters.count("net.accept_failed." + errorName(e));
                failedAt = clock.nowMs();
                failingSince = Double.isNaN(failingSince) ? failedAt - lagMs() : failingSince;
                rest();
                wheel.at(clock.nowMs() + RETRY_MS, this::wake);
            }
        }

        private void take(SocketChannel newcomer) throws IOException {
            Socket s = new Socket(newcomer, this);
            s.up(users.apply(s));
            open++;
            counters.count("net.accepted");
            s.user.opened();
            s.waitedMs = waitedMs();
            s.look(); // what a newcomer sent is known before anyone is shed for the next one
            s.waitedMs = 0; // what comes later has not waited
        }

        /** How long a newcomer that is accepted now may have stood in the backlog because accepting failed. */
        private double waitedMs() {
            double now = clock.nowMs();
            if (Double.isNaN(failingSince) || now - failedAt > FAILURE_FORGOTTEN_MS) {
                failingSince = Double.NaN;
                return 0;
            }
            return now - failingSince;
        }

        /** The next newcomer. The last place goes to one only when it is known who may leave for the one after. */
        private SocketChannel accept() throws IOException {
            if (open > most && !room()) {
                counters.count("net.full");
                rest();
                // Places that end by themselves wake it; one that may be shed only later is asked for again.
                wheel.at(clock.nowMs() + RETRY_MS, this::wake);
                return null;
            }
            return channel.accept();
        }

        private boolean room() {
            if (!lingering.isEmpty()) {
                lingering.peek().shut();
                return true;
            }
            return shed.getAsBoolean();
        }

        private void rest() {
            if (key.isValid()) {
                key.interestOps(0);
            }
        }

        private void wake() {
            if (key.isValid()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        }

        private void left() {
            open--;
            wake();
        }
    }

    @Override
    public Connection dial(InetSocketAddress to, Function<Connection, ConnectionHandler> user) {
        Socket s = new Socket(null, null);
        s.user = user.apply(s);
        counters.count("net.dialled");
        try {
            s.channel = SocketChannel.open();
            s.channel.configureBlocking(false);
            s.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (s.channel.connect(to)) {
                s.key = s.channel.register(selector, SelectionKey.OP_READ, s);
                soon.add(s::opened);
            } else {
                s.key = s.channel.register(selector, SelectionKey.OP_CONNECT, s);
            }
        } catch (IOException | RuntimeException e) {
            counters.count("net.dial_failed." + (e instanceof IOException failed ? errorName(failed) : "other"));
            soon.add(s::broken);
        }
        return s;
    }

    private final class Socket implements Connection, Ready {
        private SocketChannel channel;
        private final Listener door;
        private SelectionKey key;
        private ConnectionHandler user;
        private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        private long unread;
        private boolean connected;
        private boolean gone;
        private boolean finishing;
        private boolean paused;
        private boolean written;
        private double waitedMs;

        Socket(SocketChannel channel, Listener door) {
            this.channel = channel;
            this.door = door;
        }

        private void up(ConnectionHandler by) throws IOException {
            user = by;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            key = channel.register(selector, SelectionKey.OP_READ, this);
            connected = true;
        }

        private void opened() {
            if (!gone) {
                connected = true;
                user.opened();
                if (!gone) { // its user may have no use for it any more, and end it
                    push();
                }
            }
        }

        @Override
        public void ready(SelectionKey k) {
            if (gone || !k.isValid()) {
                return;
            }
            try {
                if (k.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(SelectionKey.OP_READ);
                    opened();
                }
                if (!gone && k.isWritable()) {
                    push();
                }
                if (!gone && k.isReadable()) {
                    take();
                }
            } catch (IOException e) {
                broken();
            } catch (RuntimeException | VirtualMachineError e) {
                broken();
                throw new IllegalStateException("on a connection: " + e, e);
            }
        }

        private void take() {
            // A user may look at another connection while it reads: each reading has a buffer of its own.
            ByteBuffer in = buffers.isEmpty()
                    ? ByteBuffer.allocateDirect(BUFFER)
                    : buffers.pop().clear();
            try {
                int count = read(in);
                if (count == END) {
                    broken();
                } else if (count > 0 && !finishing) {
                    user.bytes(in.flip());
                }
            } catch (RuntimeException | VirtualMachineError e) {
                broken();
                throw new IllegalStateException("on a connection: " + e, e);
            } finally {
                buffers.push(in);
            }
        }

        /**
         * Reads what has come: the count of bytes, or {@link #END}. The JDK tells an interrupted call (EINTR) by a count below
         * that: nothing was read then, and the selector tells of the connection again.
         */
        private int read(ByteBuffer in) {
            try {
                int count = channel.read(in);
                if (count < END) {
                    counters.count("net.interrupted");
                    return 0;
                }
                return count;
            } catch (IOException e) {
                counters.count("net.broken." + errorName(e));
                return END;
            }
        }

        @Override
        public void look() {
            if (connected && !gone && !paused) {
                take();
            }
        }

        @Override
        public void write(ByteBuffer... parts) {
            if (gone || finishing) {
                return;
            }
            for (ByteBuffer p : parts) {
                if (p.hasRemaining()) {
                    out.add(p.duplicate());
                    unread += p.remaining();
                }
            }
            if (unread > (door == null ? MOST_UNREAD : door.unreadBytes)) {
                // A peer that does not read what it asks for must not fill the memory.
                counters.count("net.unread");
                soon.add(this::broken);
                return;
            }
            if (connected && (door == null || !door.batched)) {
                push();
            } else if (connected && !written) {
                written = true;
                toWrite.add(this);
            }
        }

        /** What was written since the last turn goes out in one call. */
        private void writeOut() {
            written = false;
            if (!gone && !out.isEmpty()) {
                push();
            }
        }

        private void push() {
            try {
                while (!out.isEmpty()) {
                    // One copy and one call for many small parts: a gathered write costs a copy and a call's part each.
                    together.clear();
                    for (ByteBuffer b : out) {
                        if (!together.hasRemaining()) {
                            break;
                        }
                        together.put(b.slice(b.position(), Math.min(b.remaining(), together.remaining())));
                    }
                    boolean all = channel.write(together.flip()) == together.limit();
                    sent(together.position());
                    if (!all) {
                        awaitEvents();
                        return;
                    }
                }
                awaitEvents();
            } catch (IOException e) {
                // The end is told from the loop, so that a caller is never called back inside its own write.
                soon.add(this::broken);
                return;
            }
            if (finishing) {
                linger();
            } else {
                user.flushed();
            }
        }

        private void sent(int bytes) {
            unread -= bytes;
            for (int left = bytes; left > 0; ) {
                ByteBuffer b = out.peek();
                int n = Math.min(left, b.remaining());
                b.position(b.position() + n);
                left -= n;
                if (!b.hasRemaining()) {
                    out.poll();
                }
            }
        }

        /** Closing with unread bytes would reset the peer before it has read its answer: read on for a while. */
        private void linger() {
            try {
                channel.shutdownOutput();
                if (door != null) {
                    door.lingering.add(this);
                }
                wheel.at(clock.nowMs() + LINGER_MS, this::shut);
            } catch (IOException e) {
                shut();
            }
        }

        /** A close over unread bytes resets the peer, which then may not read what it was sent. */
        private void readAway() {
            ByteBuffer in = buffers.isEmpty()
                    ? ByteBuffer.allocateDirect(BUFFER)
                    : buffers.pop().clear();
            try {
                for (int i = 0; i < MOST_AWAY && channel.read(in) > 0; i++) {
                    in.clear();
                }
            } catch (IOException e) {
                counters.count("net.reset"); // the peer was first
            } finally {
                buffers.push(in);
            }
        }

        @Override
        public double waitedMs() {
            return waitedMs;
        }

        /** Has the selector tell of what this connection waits for now. */
        private void awaitEvents() {
            int events = (paused ? 0 : SelectionKey.OP_READ) | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (key.isValid() && key.interestOps() != events) {
                key.interestOps(events);
            }
        }

        @Override
        public void pauseReading() {
            paused = true;
            if (connected && !gone) {
                awaitEvents();
            }
        }

        @Override
        public void resumeReading() {
            paused = false;
            if (connected && !gone) {
                awaitEvents();
            }
        }

        @Override
        public boolean flushed() {
            return connected && out.isEmpty();
        }

        @Override
        public String peer() {
            return channel.socket().getInetAddress() == null
                    ? "-"
                    : channel.socket().getInetAddress().getHostAddress();
        }

        @Override
        public void finish() {
            if (gone || finishing) {
                return;
            }
            finishing = true;
            resumeReading(); // what comes is read away until the peer has seen the end
            if (door != null) {
                ending.add(this);
            }
            if (!connected) {
                shut();
            } else if (out.isEmpty()) {
                linger();
            }
        }

        @Override
        public void cut() {
            shut();
        }

        private void broken() {
            if (!gone) {
                boolean tell = !finishing;
                shut();
                if (tell) {
                    user.ended();
                }
            }
        }

        private void shut() {
            if (gone) {
                return;
            }
            gone = true;
            out.clear();
            ending.remove(this);
            try {
                if (channel != null) {
                    if (door != null) {
                        readAway();
                    }
                    channel.close();
                }
            } catch (IOException e) {
                log.accept("closing a connection: " + e.getMessage());
            }
            if (door != null) {
                door.lingering.remove(this);
                door.left();
            }
        }
    }
}
