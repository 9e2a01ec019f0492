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

/** The event loop: one thread and one selector serve all sockets and advance the timer wheel. */
public final class SelectorLoop implements Network {
    private static final double MAX_SLEEP_MS = 500;
    private static final double LINGER_MS = 500;
    private static final double ACCEPT_RETRY_MS = 50;
    /** Connections accepted by a listener per turn, so that a burst of them does not delay timers and other connections. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAX_UNREAD_BYTES = 2 << 20;
    /** Returned by a read at the end of the stream. */
    private static final int END_OF_STREAM = -1;

    private static final int MAX_ERROR_NAME_LENGTH = 40;
    /**
     * Accepting is retried every {@link #ACCEPT_RETRY_MS}; if it has not failed again for this long, no connection still waits
     * because of the failure.
     */
    private static final double ACCEPT_FAILURE_EXPIRY_MS = 500;

    /** Full-buffer reads that discard input at a close; a peer that has sent more may be reset. */
    private static final int MAX_DISCARD_READS = 16;

    private final Selector selector;
    private final Clock clock;
    private final TimerWheel wheel;
    private final Counters counters;
    private final Consumer<String> log;
    private final ArrayDeque<ByteBuffer> readBuffers = new ArrayDeque<>();
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final ArrayDeque<SocketConnection> batchedWrites = new ArrayDeque<>();
    private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
    /** Accepted connections that are finishing and not closed yet. */
    private final Set<SocketConnection> finishingConnections = new LinkedHashSet<>();

    private final ConcurrentLinkedQueue<Runnable> externalTasks = new ConcurrentLinkedQueue<>();
    private double lastSelectMs;

    /** Creates a loop without any socket. */
    public SelectorLoop(Clock clock, TimerWheel wheel, Counters counters, Consumer<String> log) throws IOException {
        this.selector = Selector.open();
        this.clock = clock;
        this.wheel = wheel;
        this.counters = counters;
        this.log = log;
        this.lastSelectMs = clock.nowMs();
    }

    /**
     * Runs until the condition holds, then closes all connections. Connections that are finishing get up to
     * {@link #LINGER_MS} to write their last bytes and let the peer read them; connections that arrive meanwhile are served
     * first.
     */
    public void run(BooleanSupplier stopCondition) throws IOException {
        double lingerEndMs = Double.NaN;
        for (boolean stopped = false; !stopped; ) {
            while (!stopCondition.getAsBoolean()) {
                lingerEndMs = Double.NaN;
                turn(MAX_SLEEP_MS);
            }
            lingerEndMs = Double.isNaN(lingerEndMs) ? clock.nowMs() + LINGER_MS : lingerEndMs;
            turn(
                    finishingConnections.isEmpty() || clock.nowMs() >= lingerEndMs
                            ? 0
                            : lingerEndMs - clock.nowMs()); // serves what is already in the backlog
            stopped = stopCondition.getAsBoolean() && (finishingConnections.isEmpty() || clock.nowMs() >= lingerEndMs);
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    /**
     * Runs one turn: waits for socket events until the next timer is due or for at most the given time, then handles the
     * events, timers, submitted tasks and batched writes.
     */
    public void turn(double maxWaitMs) throws IOException {
        double nowMs = clock.nowMs();
        double waitMs = deferredTasks.isEmpty() ? wheel.idleUntil(nowMs, maxWaitMs) - nowMs : 0;
        if (waitMs <= 0) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(waitMs));
        }
        double selectedAtMs = clock.nowMs();
        for (SelectionKey key : selector.selectedKeys()) {
            runGuarded(() -> ((ReadyHandler) key.attachment()).onReady(key));
        }
        selector.selectedKeys().clear();
        lastSelectMs = selectedAtMs;
        runGuarded(() -> wheel.advanceTo(clock.nowMs()));
        for (Runnable task = externalTasks.poll(); task != null; task = externalTasks.poll()) {
            runGuarded(task);
        }
        for (int remaining = deferredTasks.size(); remaining > 0; remaining--) {
            runGuarded(deferredTasks.poll());
        }
        for (SocketConnection connection = batchedWrites.poll();
                connection != null;
                connection = batchedWrites.poll()) {
            runGuarded(connection::flushBatch);
        }
    }

    /** Returns the time since the last selection in milliseconds; bytes read now may have arrived that much earlier. */
    public double lagMs() {
        return clock.nowMs() - lastSelectMs;
    }

    /** Runs a task on the loop's thread; may be called from any thread. */
    public void execute(Runnable task) {
        externalTasks.add(task);
        selector.wakeup();
    }

    /**
     * Runs a step and counts and logs its exceptions and errors, so that no input, no faulty handler and no lack of memory in
     * one step ends the process with all its open jobs.
     */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error fault) {
            counters.count("net.fault");
            log.accept("fault on the loop: " + fault + " at "
                    + (fault.getStackTrace().length == 0 ? "?" : fault.getStackTrace()[0]));
        }
    }

    /**
     * Returns an I/O error as part of a counter's name, such as {@code connection_reset_by_peer}. The JDK reports the system's
     * error only in its message.
     */
    private static String errorName(IOException error) {
        String text = error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
        String name = text.toLowerCase(Locale.ROOT).replaceAll("[^a-z]+", "_");
        return name.substring(0, Math.min(name.length(), MAX_ERROR_NAME_LENGTH));
    }

    private interface ReadyHandler {
        void onReady(SelectionKey key);
    }

    /**
     * Listens at an address until the returned listener is closed. When a new connection finds the maximum reached,
     * {@code shed} may close one of the least important connections, and returns whether it did.
     */
    public Listener listen(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlers,
            int maxConnections,
            BooleanSupplier shed)
            throws IOException {
        return listen(address, handlers, maxConnections, MAX_UNREAD_BYTES, shed);
    }

    /** Listens with a limit on the bytes queued for a peer that does not read them. */
    public Listener listen(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlers,
            int maxConnections,
            long maxUnreadBytes,
            BooleanSupplier shed)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, 512);
        return adopt(channel, handlers, maxConnections, maxUnreadBytes, shed);
    }

    /**
     * Serves a socket that already listens, such as one inherited from the platform and shared with another process.
     * Closing it here closes only this process's descriptor.
     */
    public Listener adopt(
            ServerSocketChannel channel,
            Function<Connection, ConnectionHandler> handlers,
            int maxConnections,
            long maxUnreadBytes,
            BooleanSupplier shed)
            throws IOException {
        channel.configureBlocking(false);
        return new Listener(channel, handlers, maxConnections, maxUnreadBytes, shed);
    }

    /**
     * A listening socket with a maximum of open connections. At the maximum a new connection replaces one that only
     * lingers after its last answer, or else one that {@code shed} closes; otherwise it waits in the backlog.
     */
    public final class Listener implements ReadyHandler {
        private final ServerSocketChannel channel;
        private final Function<Connection, ConnectionHandler> handlers;
        private final int maxConnections;
        private final long maxUnreadBytes;
        private final BooleanSupplier shed;
        private final SelectionKey key;
        private final ArrayDeque<SocketConnection> lingeringConnections = new ArrayDeque<>();
        private int openConnections;
        private boolean batchesWrites;
        /** When accepting began to fail, or NaN; connections accepted next may have waited in the backlog since then. */
        private double acceptFailingSinceMs = Double.NaN;

        private double lastAcceptFailureMs;

        private Listener(
                ServerSocketChannel channel,
                Function<Connection, ConnectionHandler> handlers,
                int maxConnections,
                long maxUnreadBytes,
                BooleanSupplier shed)
                throws IOException {
            this.channel = channel;
            this.handlers = handlers;
            this.maxConnections = maxConnections;
            this.maxUnreadBytes = maxUnreadBytes;
            this.shed = shed;
            key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
        }

        /** Writes the output of its connections once a turn from now on: fewer system calls, up to one turn of delay. */
        public Listener batchWrites() {
            batchesWrites = true;
            return this;
        }

        /** Returns the address at which it listens. */
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** Stops accepting connections; those that are open stay open. */
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                log.accept("closing a listener failed: " + e.getMessage());
            }
        }

        @Override
        public void onReady(SelectionKey readyKey) {
            try {
                for (int accepted = 0; accepted < MAX_ACCEPTS_PER_TURN; accepted++) {
                    SocketChannel acceptedChannel = acceptNext();
                    if (acceptedChannel == null) {
                        if (accepted > 0) {
                            acceptFailingSinceMs = Double.NaN; // the backlog is empty
                        } // else the call may have been interrupted, which the JDK also reports as null
                        return;
                    }
                    openAccepted(acceptedChannel);
                }
            } catch (IOException e) {
                // Out of descriptors, for example: retries after a while instead of spinning on a ready key.
                counters.count("net.accept_failed." + errorName(e));
                lastAcceptFailureMs = clock.nowMs();
                acceptFailingSinceMs =
                        Double.isNaN(acceptFailingSinceMs) ? lastAcceptFailureMs - lagMs() : acceptFailingSinceMs;
                pauseAccepting();
                wheel.schedule(clock.nowMs() + ACCEPT_RETRY_MS, this::resumeAccepting);
            }
        }

        private void openAccepted(SocketChannel acceptedChannel) throws IOException {
            SocketConnection connection = new SocketConnection(acceptedChannel, this);
            connection.register(handlers.apply(connection));
            openConnections++;
            counters.count("net.accepted");
            connection.handler.opened();
            connection.waitedMs = waitedMs();
            connection.readAvailable(); // reads its first bytes before a connection is shed for the next one
            connection.waitedMs = 0; // later bytes have not waited in the backlog
        }

        /** Returns how long a connection accepted now may have waited in the backlog because accepting failed. */
        private double waitedMs() {
            double nowMs = clock.nowMs();
            if (Double.isNaN(acceptFailingSinceMs) || nowMs - lastAcceptFailureMs > ACCEPT_FAILURE_EXPIRY_MS) {
                acceptFailingSinceMs = Double.NaN;
                return 0;
            }
            return nowMs - acceptFailingSinceMs;
        }

        /**
         * Accepts the next connection, or returns null if there is none. Beyond the maximum it accepts only after another
         * connection has been closed.
         */
        private SocketChannel acceptNext() throws IOException {
            if (openConnections > maxConnections && !freePlace()) {
                counters.count("net.full");
                pauseAccepting();
                // A connection that closes resumes accepting; the timer retries for one that can be shed only later.
                wheel.schedule(clock.nowMs() + ACCEPT_RETRY_MS, this::resumeAccepting);
                return null;
            }
            return channel.accept();
        }

        private boolean freePlace() {
            if (!lingeringConnections.isEmpty()) {
                lingeringConnections.peek().closeSocket();
                return true;
            }
            return shed.getAsBoolean();
        }

        private void pauseAccepting() {
            if (key.isValid()) {
                key.interestOps(0);
            }
        }

        private void resumeAccepting() {
            if (key.isValid()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        }

        private void connectionClosed() {
            openConnections--;
            resumeAccepting();
        }
    }

    @Override
    public Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
        SocketConnection connection = new SocketConnection(null, null);
        connection.handler = handlers.apply(connection);
        counters.count("net.dialled");
        try {
            connection.channel = SocketChannel.open();
            connection.channel.configureBlocking(false);
            connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (connection.channel.connect(address)) {
                connection.key = connection.channel.register(selector, SelectionKey.OP_READ, connection);
                deferredTasks.add(connection::connectCompleted);
            } else {
                connection.key = connection.channel.register(selector, SelectionKey.OP_CONNECT, connection);
            }
        } catch (IOException | RuntimeException e) {
            counters.count("net.dial_failed." + (e instanceof IOException failed ? errorName(failed) : "other"));
            deferredTasks.add(connection::handleEnd);
        }
        return connection;
    }

    private final class SocketConnection implements Connection, ReadyHandler {
        private SocketChannel channel;
        private final Listener listener;
        private SelectionKey key;
        private ConnectionHandler handler;
        private final ArrayDeque<ByteBuffer> outgoing = new ArrayDeque<>();
        private long unsentBytes;
        private boolean connected;
        private boolean closed;
        private boolean finishing;
        private boolean paused;
        private boolean inBatch;
        private double waitedMs;
        private String endReason = "-";

        SocketConnection(SocketChannel channel, Listener listener) {
            this.channel = channel;
            this.listener = listener;
        }

        private void register(ConnectionHandler newHandler) throws IOException {
            handler = newHandler;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            key = channel.register(selector, SelectionKey.OP_READ, this);
            connected = true;
        }

        private void connectCompleted() {
            if (!closed) {
                connected = true;
                handler.opened();
                if (!closed) { // its handler may have closed it
                    flushOutgoing();
                }
            }
        }

        @Override
        public void onReady(SelectionKey readyKey) {
            if (closed || !readyKey.isValid()) {
                return;
            }
            try {
                if (readyKey.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(SelectionKey.OP_READ);
                    connectCompleted();
                }
                if (!closed && readyKey.isWritable()) {
                    flushOutgoing();
                }
                if (!closed && readyKey.isReadable()) {
                    readFromSocket();
                }
            } catch (IOException e) {
                handleEnd();
            } catch (RuntimeException | Error e) {
                handleEnd();
                throw new IllegalStateException("on a connection: " + e, e);
            }
        }

        private void readFromSocket() {
            int limit = finishing ? BUFFER_BYTES : Math.min(BUFFER_BYTES, handler.readLimit());
            if (limit <= 0) {
                pauseReading();
                return;
            }
            // A handler may read another connection meanwhile, so each read uses a buffer of its own.
            ByteBuffer buffer = readBuffers.isEmpty()
                    ? ByteBuffer.allocateDirect(BUFFER_BYTES)
                    : readBuffers.pop().clear();
            try {
                int count = read(buffer.limit(limit));
                if (count == END_OF_STREAM) {
                    handleEnd();
                } else if (count > 0 && !finishing) {
                    handler.received(buffer.flip());
                }
            } catch (RuntimeException | Error e) {
                handleEnd();
                throw new IllegalStateException("on a connection: " + e, e);
            } finally {
                readBuffers.push(buffer);
            }
        }

        /**
         * Reads what has arrived and returns the number of bytes, or {@link #END_OF_STREAM}. The JDK reports an interrupted call
         * (EINTR) by a smaller number: nothing was read then, and the selector selects the connection again.
         */
        private int read(ByteBuffer buffer) {
            try {
                int count = channel.read(buffer);
                if (count < END_OF_STREAM) {
                    counters.count("net.interrupted");
                    return 0;
                }
                if (count == END_OF_STREAM) {
                    endReason = "fin";
                }
                return count;
            } catch (IOException e) {
                endReason = errorName(e);
                counters.count("net.broken." + endReason);
                return END_OF_STREAM;
            }
        }

        @Override
        public void readAvailable() {
            if (connected && !closed && !paused) {
                readFromSocket();
            }
        }

        @Override
        public void write(ByteBuffer... parts) {
            if (closed || finishing) {
                return;
            }
            for (ByteBuffer part : parts) {
                if (part.hasRemaining()) {
                    outgoing.add(part.duplicate());
                    unsentBytes += part.remaining();
                }
            }
            if (unsentBytes > (listener == null ? MAX_UNREAD_BYTES : listener.maxUnreadBytes)) {
                // A peer that does not read its answers must not exhaust the memory.
                counters.count("net.unread");
                deferredTasks.add(this::handleEnd);
                return;
            }
            if (connected && (listener == null || !listener.batchesWrites)) {
                flushOutgoing();
            } else if (connected && !inBatch) {
                inBatch = true;
                batchedWrites.add(this);
            }
        }

        /** Writes the output collected since the last turn. */
        private void flushBatch() {
            inBatch = false;
            if (!closed && !outgoing.isEmpty()) {
                flushOutgoing();
            }
        }

        private void flushOutgoing() {
            try {
                while (!outgoing.isEmpty()) {
                    // Many small parts are copied into one buffer: a gathering write costs a copy and part of a call
                    // for each.
                    writeBuffer.clear();
                    for (ByteBuffer part : outgoing) {
                        if (!writeBuffer.hasRemaining()) {
                            break;
                        }
                        writeBuffer.put(
                                part.slice(part.position(), Math.min(part.remaining(), writeBuffer.remaining())));
                    }
                    boolean wroteAll = channel.write(writeBuffer.flip()) == writeBuffer.limit();
                    advanceOutgoing(writeBuffer.position());
                    if (!wroteAll) {
                        updateInterestOps();
                        return;
                    }
                }
                updateInterestOps();
            } catch (IOException e) {
                // Reported by a later task, so that a handler is never called back inside its own write.
                deferredTasks.add(this::handleEnd);
                return;
            }
            if (finishing) {
                linger();
            } else {
                handler.flushed();
            }
        }

        private void advanceOutgoing(int bytes) {
            unsentBytes -= bytes;
            for (int remaining = bytes; remaining > 0; ) {
                ByteBuffer part = outgoing.peek();
                int count = Math.min(remaining, part.remaining());
                part.position(part.position() + count);
                remaining -= count;
                if (!part.hasRemaining()) {
                    outgoing.poll();
                }
            }
        }

        /**
         * Shuts down the output and closes later. Closing with unread input would reset the connection before the peer has
         * read its answer.
         */
        private void linger() {
            try {
                channel.shutdownOutput();
                if (listener != null) {
                    listener.lingeringConnections.add(this);
                }
                wheel.schedule(clock.nowMs() + LINGER_MS, this::closeSocket);
            } catch (IOException e) {
                closeSocket();
            }
        }

        /** Discards input before a close: unread input would reset the connection, and the peer might lose its answer. */
        private void discardIncoming() {
            ByteBuffer buffer = readBuffers.isEmpty()
                    ? ByteBuffer.allocateDirect(BUFFER_BYTES)
                    : readBuffers.pop().clear();
            try {
                for (int i = 0; i < MAX_DISCARD_READS && channel.read(buffer) > 0; i++) {
                    buffer.clear();
                }
            } catch (IOException e) {
                counters.count("net.reset"); // the peer has reset the connection
            } finally {
                readBuffers.push(buffer);
            }
        }

        @Override
        public double backlogWaitMs() {
            return waitedMs;
        }

        /** Registers the events that this connection waits for. */
        private void updateInterestOps() {
            int interestOps = (paused ? 0 : SelectionKey.OP_READ) | (outgoing.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (key.isValid() && key.interestOps() != interestOps) {
                key.interestOps(interestOps);
            }
        }

        @Override
        public void pauseReading() {
            paused = true;
            if (connected && !closed) {
                updateInterestOps();
            }
        }

        @Override
        public void resumeReading() {
            paused = false;
            if (connected && !closed) {
                updateInterestOps();
            }
        }

        @Override
        public boolean flushed() {
            return connected && outgoing.isEmpty();
        }

        @Override
        public String endReason() {
            return endReason;
        }

        @Override
        public String peer() {
            return channel.socket().getInetAddress() == null
                    ? "-"
                    : channel.socket().getInetAddress().getHostAddress();
        }

        @Override
        public void finish() {
            if (closed || finishing) {
                return;
            }
            finishing = true;
            resumeReading(); // input is discarded until the peer has seen the end
            if (listener != null) {
                finishingConnections.add(this);
            }
            if (!connected) {
                closeSocket();
            } else if (outgoing.isEmpty()) {
                linger();
            }
        }

        @Override
        public void closeNow() {
            closeSocket();
        }

        /** Closes the connection after a failure or the end of the stream, and tells the handler unless it has finished. */
        private void handleEnd() {
            if (!closed) {
                boolean notify = !finishing;
                closeSocket();
                if (notify) {
                    handler.ended();
                }
            }
        }

        private void closeSocket() {
            if (closed) {
                return;
            }
            closed = true;
            outgoing.clear();
            finishingConnections.remove(this);
            try {
                if (channel != null) {
                    if (listener != null) {
                        discardIncoming();
                    }
                    channel.close();
                }
            } catch (IOException e) {
                log.accept("closing a connection failed: " + e.getMessage());
            }
            if (listener != null) {
                listener.lingeringConnections.remove(this);
                listener.connectionClosed();
            }
        }
    }
}
