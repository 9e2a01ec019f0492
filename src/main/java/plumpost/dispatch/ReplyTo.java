package plumpost.dispatch;

import java.nio.ByteBuffer;

/** Port to the client that submitted a job: exactly one of the three final answers is sent through it. */
public interface ReplyTo {
    /** Final answer: served, with the route node's result. */
    void served(WorkerResult result);

    /** Final answer: refused. A retry is harmless, after the given time if it is above 0. */
    void refused(double retryAfterMs);

    /** Final answer: failed. The job may or may not have had its effect. */
    void failed();

    /** Final answer: failed, with the route node's reason. */
    default void failed(ByteBuffer reason) {
        failed();
    }

    /** Final answer: the id is that of another job, which is open or may have run. Nothing was done with this one. */
    default void rejectedAsKnown() {
        failed();
    }

    /** Returns whether a client waits for the answer; false for a background job. */
    default boolean waits() {
        return true;
    }

    /**
     * Reads the client's connection, to notice that it has closed before its job is sent to a node. Returns false if more has
     * arrived than may be read now, so that a close may still lie behind it.
     */
    default boolean pollConnection() {
        return true;
    }

    /** Passes on a part of the result. The final answer contains the full result all the same. */
    default void part(ByteBuffer part) {}

    /** Passes on the share of the job that is done. */
    default void progressed(double progress) {}

    /** Passes on a warning of the route node. */
    default void warned(ByteBuffer text) {}

    /** Returns how the client's connection ended, in one word, or {@code "-"} if that is not known. */
    default String endReason() {
        return "-";
    }
}
