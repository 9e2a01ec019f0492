package plumpost.net;

import java.nio.ByteBuffer;

/** One connection, as offered to the {@link ConnectionHandler} that implements a protocol on it. */
public interface Connection {
    /** Writes the parts in order: at once what the socket accepts, and the rest as soon as it accepts more. */
    void write(ByteBuffer... parts);

    /** Returns whether everything passed to {@link #write} has been written to the socket. */
    boolean flushed();

    /** Returns the peer's numeric IP address, or {@code "-"} if it is unknown. */
    default String peer() {
        return "-";
    }

    /**
     * Returns how the peer ended the connection: {@code "fin"}, or the name of the error, such as
     * {@code "connection_reset_by_peer"}; {@code "-"} as long as it has not.
     */
    default String endReason() {
        return "-";
    }

    /** Closes the connection after all pending output has been written; its handler is not called any more. */
    void finish();

    /** Closes the connection at once and discards pending output; its handler is not called any more. */
    void closeNow();

    /** Stops reading until {@link #resumeReading}, so that flow control stops the peer. */
    default void pauseReading() {}

    /** Resumes reading; has no effect if reading was not paused. */
    default void resumeReading() {}

    /**
     * Returns for how many milliseconds the bytes that are being read may have waited because the connection could not be
     * accepted, or 0 if accepting has not failed.
     */
    default double backlogWaitMs() {
        return 0;
    }

    /**
     * Reads what has already arrived, as far as this connection's share of the turn goes. Returns whether all of it was read,
     * so that a close by the peer has been noticed; if not, the rest is read in later turns.
     */
    boolean readAvailable();
}
