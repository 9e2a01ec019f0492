package plumpost.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * A listening socket with a maximum of open connections. At the maximum a new connection replaces one that only
 * lingers after its last answer, or else one that {@code shed} closes; otherwise it waits in the backlog.
 */
public final class Listener implements ReadyHandler {
    private static final double ACCEPT_RETRY_MS = 50;
    /** Connections accepted per turn, so that a burst of them does not delay timers and other connections. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    /**
     * Accepting is retried every {@link #ACCEPT_RETRY_MS}; if it has not failed again for this long, no connection still waits
     * because of the failure.
     */
    private static final double ACCEPT_FAILURE_EXPIRY_MS = 500;

    private final SelectorLoop loop;
    private final ServerSocketChannel channel;
    private final Function<Connection, ConnectionHandler> handlers;
    private final int maxConnections;
    final long maxUnreadBytes;
    private final BooleanSupplier shed;
    private final SelectionKey key;
    final ArrayDeque<SocketConnection> lingeringConnections = new ArrayDeque<>();
    private int openConnections;
    boolean batchesWrites;
    /** When accepting began to fail, or NaN; connections accepted next may have waited in the backlog since then. */
    private double acceptFailingSinceMs = Double.NaN;

    private double lastAcceptFailureMs;

    Listener(
            SelectorLoop loop,
            ServerSocketChannel channel,
            Function<Connection, ConnectionHandler> handlers,
            int maxConnections,
            long maxUnreadBytes,
            BooleanSupplier shed)
            throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.handlers = handlers;
        this.maxConnections = maxConnections;
        this.maxUnreadBytes = maxUnreadBytes;
        this.shed = shed;
        key = channel.register(loop.selector, SelectionKey.OP_ACCEPT, this);
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
            loop.log.accept("closing a listener failed: " + e.getMessage());
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
            loop.counters.count("net.accept_failed." + IoErrors.name(e));
            lastAcceptFailureMs = loop.clock.nowMs();
            acceptFailingSinceMs =
                    Double.isNaN(acceptFailingSinceMs) ? lastAcceptFailureMs - loop.lagMs() : acceptFailingSinceMs;
            pauseAccepting();
            loop.wheel.schedule(loop.clock.nowMs() + ACCEPT_RETRY_MS, this::resumeAccepting);
        }
    }

    private void openAccepted(SocketChannel acceptedChannel) throws IOException {
        SocketConnection connection = new SocketConnection(loop, acceptedChannel, this);
        connection.register(handlers.apply(connection));
        openConnections++;
        loop.counters.count("net.accepted");
        connection.accepted(waitedMs());
    }

    /** Returns how long a connection accepted now may have waited in the backlog because accepting failed. */
    private double waitedMs() {
        double nowMs = loop.clock.nowMs();
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
            loop.counters.count("net.full");
            pauseAccepting();
            // A connection that closes resumes accepting; the timer retries for one that can be shed only later.
            loop.wheel.schedule(loop.clock.nowMs() + ACCEPT_RETRY_MS, this::resumeAccepting);
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

    void connectionClosed() {
        openConnections--;
        resumeAccepting();
    }
}
