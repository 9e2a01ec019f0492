package plumpost.net;

import java.nio.ByteBuffer;

/** One connection as a protocol's state machine sees it. */
public interface Connection {
    /** Writes the parts in order, now as far as they fit and the rest as soon as they do. */
    void write(ByteBuffer... parts);

    /** True when all that was given has been written. */
    boolean flushed();

    /** The peer's address in numbers, or a dash where there is none. */
    default String peer() {
        return "-";
    }

    /** Ends the connection once all is written; its user hears no more of it. */
    void finish();

    /** Ends the connection at once; its user hears no more of it. */
    void cut();

    /** Takes in nothing more until {@link #resumeReading}; the peer finds its sending held up. */
    default void pauseReading() {}

    /** Takes in again what comes; harmless where reading goes on. */
    default void resumeReading() {}

    /** How long what is read now may have waited, in milliseconds, because its connection could not be accepted; else 0. */
    default double waitedMs() {
        return 0;
    }

    /** Takes in what has arrived already, so that an end that came is known before the next write. */
    void look();
}
