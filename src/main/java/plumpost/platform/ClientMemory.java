package plumpost.platform;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.net.LoopContext;

/**
 * The memory that all connections of clients hold together: bytes that were read and belong to no open job, and answers
 * that their client has not read. Open jobs are counted by the core instead. A connection may always hold a few kilobytes,
 * enough for a usual request. Beyond that it reads only while the limit is not reached, and otherwise waits until others
 * have released memory. Half of the limit is left to the bodies of requests that have begun, so that requests read ahead of
 * an answer cannot keep other clients from completing theirs.
 */
final class ClientMemory {
    /** Counter of the highest number of bytes held at a time. */
    static final String PEAK_COUNTER = "front.client_bytes.peak";

    /** What each connection may hold whatever the others do: the head and a small body. */
    static final int GUARANTEED_BYTES = 4 * 1024;
    /** Connections that wait are resumed one for each piece of this size that is free. */
    private static final int RESUMED_READ_BYTES = 64 * 1024;

    /** A connection that holds memory and may have to wait for more. */
    interface Holder {
        /** Returns whether the bytes that it would read next belong to the body of a request that it has begun to read. */
        boolean readsBody();

        /** Returns the bytes that it holds. */
        long heldBytes();

        /** Continues to read. */
        void resumeReading();
    }

    private final long maxBytes;
    private final LoopContext context;
    private final Set<Holder> waiting = new LinkedHashSet<>();
    private long heldBytes;
    private long peakBytes;
    private boolean resumeScheduled;

    ClientMemory(long maxBytes, LoopContext context) {
        this.maxBytes = maxBytes;
        this.context = context;
    }

    /**
     * Returns how many bytes a connection may read now. If that is 0 the connection waits: it is told to resume reading as
     * soon as there is memory for it.
     */
    long requestAllowance(Holder holder) {
        long allowance = allowance(holder, 0);
        if (allowance > 0) {
            waiting.remove(holder);
            return allowance;
        }
        if (waiting.add(holder)) {
            context.counters().count("front.memory_waits");
        }
        return 0;
    }

    /** Returns how many bytes a connection may keep now of what it reads ahead of an answer; it does not wait for more. */
    long readAheadAllowance(Holder holder) {
        return Math.max(0, allowance(holder, 0));
    }

    private long allowance(Holder holder, long promisedBytes) {
        long limit = holder.readsBody() ? maxBytes : maxBytes / 2;
        return Math.max(GUARANTEED_BYTES - holder.heldBytes(), limit - heldBytes - promisedBytes);
    }

    /** Returns whether a connection waits for memory. */
    boolean isWaiting(Holder holder) {
        return waiting.contains(holder);
    }

    /** Records that connections hold this many bytes more, or fewer if it is negative. */
    void adjust(long bytes) {
        heldBytes += bytes;
        if (heldBytes > peakBytes) {
            peakBytes = heldBytes;
            context.counters().raiseTo(PEAK_COUNTER, heldBytes);
        } else if (bytes < 0 && !waiting.isEmpty() && !resumeScheduled) {
            resumeScheduled = true;
            context.wheel().schedule(context.clock().nowMs(), this::resumeWaiting);
        }
    }

    /** Removes a connection that has ended or no longer has to wait. */
    void stopWaiting(Holder holder) {
        waiting.remove(holder);
    }

    /** Resumes those that have waited longest, as many as there is memory for. */
    private void resumeWaiting() {
        resumeScheduled = false;
        List<Holder> resumed = new ArrayList<>();
        for (Holder holder : waiting) {
            long promisedBytes = (long) resumed.size() * RESUMED_READ_BYTES;
            if (heldBytes + promisedBytes >= maxBytes) {
                break;
            }
            if (allowance(holder, promisedBytes) > 0) {
                resumed.add(holder);
            }
        }
        waiting.removeAll(resumed);
        resumed.forEach(Holder::resumeReading);
    }
}
