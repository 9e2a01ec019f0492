package plumpost.net;

import java.nio.ByteBuffer;

/** A protocol's state machine: it is fed what comes over a {@link Connection}. */
public interface ConnectionHandler {
    /** The connection is up. */
    default void opened() {}

    /** Bytes came; the user takes all of them. */
    void bytes(ByteBuffer in);

    /** All that was given to write has been written. */
    default void flushed() {}

    /** The peer ended the connection, it broke, or it never came up. Nothing comes after this. */
    void ended();
}
