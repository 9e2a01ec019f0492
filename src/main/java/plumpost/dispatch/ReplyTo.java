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

    /** Final answer: failed, and the route node said why. */
    default void failed(ByteBuffer why) {
        failed();
    }

    /** False where nobody listens: the job runs in the background. */
    default boolean waits() {
        return true;
    }

    /** Reads what has come from it: one that has left is not to be found out only after its job was sent on. */
    default void look() {}

    /** News on the way: a part of the result. The final answer holds the whole result all the same. */
    default void part(ByteBuffer more) {}

    /** News on the way: the share of the job that is done. */
    default void progressed(double share) {}

    /** News on the way: a route node's warning. */
    default void warned(ByteBuffer words) {}
}
