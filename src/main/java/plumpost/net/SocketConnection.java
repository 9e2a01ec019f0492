package plumpost.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A connection on a socket: reads when the selector reports bytes, and writes what its handler passes to it. */
final class SocketConnection implements Connection, ReadyHandler {
    static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAX_UNREAD_BYTES = 2 << 20;
    /** Returned by a read at the end of the stream. */
    private static final int END_OF_STREAM = -1;
    /** Returned by a read that was interrupted. */
    private static final int INTERRUPTED = -3;

    /** Full-buffer reads that discard input at a close; a peer that has sent more may be reset. */
    private static final int MAX_DISCARD_READS = 16;

    private final SelectorLoop loop;
    private SocketChannel channel;
    private final Listener listener;
    private SelectionKey key;
    private ConnectionHandler handler;
    private final OutgoingBytes outgoing = new OutgoingBytes();
    private boolean connected;
    private boolean closed;
    private boolean finishing;
    private boolean paused;
    private boolean inBatch;
    private double waitedMs;
    /** The turn to which {@link #shareLeft} belongs. */
    private long shareTurn = -1;

    private int shareLeft;

    private String endReason = "-";

    SocketConnection(SelectorLoop loop, SocketChannel channel, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
    }

    /** Registers an accepted connection and its handler at the selector. */
    void register(ConnectionHandler newHandler) throws IOException {
        handler = newHandler;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(loop.selector, SelectionKey.OP_READ, this);
        connected = true;
    }

    /** Starts to connect; the handler hears of the result in a later task. */
    void connect(InetSocketAddress address, ConnectionHandler newHandler) {
        handler = newHandler;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(address)) {
                key = channel.register(loop.selector, SelectionKey.OP_READ, this);
                loop.deferredTasks.add(this::connectCompleted);
            } else {
                key = channel.register(loop.selector, SelectionKey.OP_CONNECT, this);
            }
        } catch (IOException | RuntimeException e) {
            loop.counters.count(
                    "net.dial_failed." + (e instanceof IOException failed ? IoErrors.name(failed) : "other"));
            loop.deferredTasks.add(this::handleEnd);
        }
    }

    /** Tells the handler that the connection was accepted, and reads its first bytes before another is shed for the next one. */
    void accepted(double backlogWaitMs) {
        handler.opened();
        waitedMs = backlogWaitMs;
        if (!closed) { // its handler may have closed it
            readReported();
        }
        waitedMs = 0; // later bytes have not waited in the backlog
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
                readReported();
            }
        } catch (IOException e) {
            handleEnd();
        } catch (RuntimeException | Error e) {
            handleEnd();
            throw new IllegalStateException("on a connection: " + e, e);
        }
    }

    /** Reads what the selector has reported, until a read does not fill its buffer or this turn's share is used up. */
    private void readReported() {
        int limit;
        int count;
        do {
            limit = readLimit();
            count = limit > 0 ? readOnce(limit) : 0;
        } while (count == limit && limit > 0 && !closed);
    }

    /**
     * Reads until nothing more has arrived, which a read without any byte shows and a short one does not, or until this turn's
     * share is used up. Returns whether all that had arrived was read.
     */
    private boolean readToEnd() {
        while (!closed) {
            int limit = readLimit();
            int count = limit > 0 ? readOnce(limit) : INTERRUPTED;
            if (count == 0 || count == INTERRUPTED) {
                return count == 0;
            }
        }
        return true;
    }

    /** Returns how many bytes may be read now; reading pauses if the handler takes none. */
    private int readLimit() {
        int share = remainingShare();
        int limit = finishing ? share : Math.min(share, handler.readLimit());
        if (limit <= 0 && share > 0) {
            pauseReading();
        }
        return Math.min(limit, BUFFER_BYTES);
    }

    /** Returns how many bytes this connection may still read in the current turn. */
    private int remainingShare() {
        if (shareTurn != loop.turnShare.turn()) {
            shareTurn = loop.turnShare.turn();
            shareLeft = loop.turnShare.bytesPerConnection();
        }
        return shareLeft;
    }

    /** Reads up to the limit once and passes the bytes to the handler; returns what {@link #read} returned. */
    private int readOnce(int limit) {
        // A handler may read another connection meanwhile, so each read uses a buffer of its own.
        ByteBuffer buffer = loop.takeReadBuffer();
        try {
            int count = read(buffer.limit(limit));
            shareLeft -= Math.max(0, count);
            if (count == END_OF_STREAM) {
                handleEnd();
            } else if (count > 0 && !finishing) {
                handler.received(buffer.flip());
            }
            return count;
        } catch (RuntimeException | Error e) {
            handleEnd();
            throw new IllegalStateException("on a connection: " + e, e);
        } finally {
            loop.returnReadBuffer(buffer);
        }
    }

    /**
     * Reads what has arrived and returns the number of bytes, {@link #END_OF_STREAM} or {@link #INTERRUPTED}. The JDK reports
     * an interrupted call (EINTR) by a number under -1: nothing was read then, and the selector selects the connection again.
     */
    private int read(ByteBuffer buffer) {
        try {
            int count = channel.read(buffer);
            if (count < END_OF_STREAM) {
                loop.counters.count("net.interrupted");
                return INTERRUPTED;
            }
            if (count == END_OF_STREAM) {
                endReason = "fin";
            }
            return count;
        } catch (IOException e) {
            endReason = IoErrors.name(e);
            loop.counters.count("net.broken." + endReason);
            return END_OF_STREAM;
        }
    }

    @Override
    public boolean readAvailable() {
        return closed || connected && readToEnd();
    }

    @Override
    public void write(ByteBuffer... parts) {
        if (closed || finishing) {
            return;
        }
        for (ByteBuffer part : parts) {
            outgoing.add(part);
        }
        if (outgoing.size() > (listener == null ? MAX_UNREAD_BYTES : listener.maxUnreadBytes)) {
            // A peer that does not read its answers must not exhaust the memory.
            loop.counters.count("net.unread");
            loop.deferredTasks.add(this::handleEnd);
            return;
        }
        if (connected && (listener == null || !listener.batchesWrites)) {
            flushOutgoing();
        } else if (connected && !inBatch) {
            inBatch = true;
            loop.batchedWrites.add(this);
        }
    }

    /** Writes the output collected since the last turn. */
    void flushBatch() {
        inBatch = false;
        if (!closed && !outgoing.isEmpty()) {
            flushOutgoing();
        }
    }

    private void flushOutgoing() {
        try {
            while (!outgoing.isEmpty()) {
                outgoing.copyTo(loop.writeBuffer.clear());
                boolean wroteAll = channel.write(loop.writeBuffer.flip()) == loop.writeBuffer.limit();
                outgoing.advance(loop.writeBuffer.position());
                if (!wroteAll) {
                    updateInterestOps();
                    return;
                }
            }
            updateInterestOps();
        } catch (IOException e) {
            // Reported by a later task, so that a handler is never called back inside its own write.
            loop.deferredTasks.add(this::handleEnd);
            return;
        }
        if (finishing) {
            linger();
        } else {
            handler.flushed();
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
            loop.wheel.schedule(loop.clock.nowMs() + SelectorLoop.LINGER_MS, this::closeSocket);
        } catch (IOException e) {
            closeSocket();
        }
    }

    /** Discards input before a close: unread input would reset the connection, and the peer might lose its answer. */
    private void discardIncoming() {
        ByteBuffer buffer = loop.takeReadBuffer();
        try {
            for (int i = 0; i < MAX_DISCARD_READS && channel.read(buffer) > 0; i++) {
                buffer.clear();
            }
        } catch (IOException e) {
            loop.counters.count("net.reset"); // the peer has reset the connection
        } finally {
            loop.returnReadBuffer(buffer);
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
            loop.finishingConnections.add(this);
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

    /** Closes the socket and discards pending output. */
    void closeSocket() {
        if (closed) {
            return;
        }
        closed = true;
        outgoing.clear();
        loop.finishingConnections.remove(this);
        try {
            if (channel != null) {
                if (listener != null) {
                    discardIncoming();
                }
                channel.close();
            }
        } catch (IOException e) {
            loop.log.accept("closing a connection failed: " + e.getMessage());
        }
        if (listener != null) {
            listener.lingeringConnections.remove(this);
            listener.connectionClosed();
        }
    }
}
