package plumpost.dispatch;

import java.nio.ByteBuffer;

/** Port to whoever handed a job in: it gets exactly one of the three final answers. */
public interface ReplyTo {
    /** Final answer: served with what a route node made. */
    void served(ByteBuffer result);

    /** Final answer: refused, trying again is harmless; after the given time if it is above 0. */
    void refused(double retryAfterMs);

    /** Final answer: failed, nothing is promised about its effect. */
    void failed();

    /** News on the way: the share of the job that is done. */
    default void progressed(double share) { }

    /** News on the way: a route node's warning. */
    default void warned(ByteBuffer words) { }
}
