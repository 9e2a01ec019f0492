package plumpost.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
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
    static final double LINGER_MS = 500;
    private static final int MAX_UNREAD_BYTES = 2 << 20;
    private static final int MAX_EXTERNAL_TASKS_PER_TURN = 1_000;

    final Selector selector;
    final Clock clock;
    final TimerWheel wheel;
    final Counters counters;
    final Consumer<String> log;
    private final ArrayDeque<ByteBuffer> readBuffers = new ArrayDeque<>();
    final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(SocketConnection.BUFFER_BYTES);
    final ArrayDeque<SocketConnection> batchedWrites = new ArrayDeque<>();
    final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
    /** Accepted connections that are finishing and not closed yet. */
    final Set<SocketConnection> finishingConnections = new LinkedHashSet<>();

    final TurnShare turnShare = new TurnShare();
    private final ArrayDeque<Runnable> nextTurnTasks = new ArrayDeque<>();
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
        int tasksOfThisTurn = nextTurnTasks.size();
        double waitMs = deferredTasks.isEmpty() && batchedWrites.isEmpty() && tasksOfThisTurn == 0
                ? wheel.idleUntil(nowMs, maxWaitMs) - nowMs
                : 0;
        if (waitMs <= 0) {
            selector.selectNow();
        } else {
            selector.select((long) Math.ceil(waitMs));
        }
        double selectedAtMs = clock.nowMs();
        turnShare.startTurn(selector.selectedKeys().size());
        for (SelectionKey key : selector.selectedKeys()) {
            runGuarded(() -> ((ReadyHandler) key.attachment()).onReady(key));
        }
        selector.selectedKeys().clear();
        lastSelectMs = selectedAtMs;
        runGuarded(() -> wheel.advanceTo(clock.nowMs()));
        runExternalTasks();
        for (int remaining = deferredTasks.size(); remaining > 0; remaining--) {
            runGuarded(deferredTasks.poll());
        }
        for (int remaining = tasksOfThisTurn; remaining > 0; remaining--) {
            runGuarded(nextTurnTasks.poll());
        }
        for (int remaining = batchedWrites.size(); remaining > 0; remaining--) {
            runGuarded(batchedWrites.poll()::flushBatch);
        }
    }

    /** Runs the tasks of other threads; if there are very many, the others wait for the next turn. */
    private void runExternalTasks() {
        for (int ran = 0; ran < MAX_EXTERNAL_TASKS_PER_TURN; ran++) {
            Runnable task = externalTasks.poll();
            if (task == null) {
                return;
            }
            runGuarded(task);
        }
        selector.wakeup();
    }

    /** Returns the time since the last selection in milliseconds; bytes read now may have arrived that much earlier. */
    public double lagMs() {
        return clock.nowMs() - lastSelectMs;
    }

    @Override
    public void runNextTurn(Runnable task) {
        nextTurnTasks.add(task);
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

    /** Returns an empty buffer for one read; a read inside the handler of another needs a buffer of its own. */
    ByteBuffer takeReadBuffer() {
        return readBuffers.isEmpty()
                ? ByteBuffer.allocateDirect(SocketConnection.BUFFER_BYTES)
                : readBuffers.pop().clear();
    }

    /** Takes back a buffer whose bytes have been handled. */
    void returnReadBuffer(ByteBuffer buffer) {
        readBuffers.push(buffer);
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
        return new Listener(this, channel, handlers, maxConnections, maxUnreadBytes, shed);
    }

    @Override
    public Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
        SocketConnection connection = new SocketConnection(this, null, null);
        counters.count("net.dialled");
        connection.connect(address, handlers.apply(connection));
        return connection;
    }
}
