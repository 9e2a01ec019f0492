package plumpost.net;

import java.nio.ByteBuffer;

/** Implements a protocol on a {@link Connection}, which calls it on every event. */
public interface ConnectionHandler {
    /** Called when the connection is established. */
    default void opened() {}

    /**
     * Called before each read: returns the most bytes that the handler takes now. After 0, nothing is read until
     * {@link Connection#resumeReading}.
     */
    default int readLimit() {
        return Integer.MAX_VALUE;
    }

    /** Called with the bytes received; the handler consumes all of them. */
    void received(ByteBuffer received);

    /** Called when all output has been written to the socket. */
    default void flushed() {}

    /** Called when the peer closed the connection, it failed, or it was never established; no call follows. */
    void ended();
}
