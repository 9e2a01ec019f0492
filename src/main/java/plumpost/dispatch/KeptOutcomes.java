package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import plumpost.time.Clock;

/**
 * Outcomes of jobs with a unique key, kept for resubmissions, bounded in number and bytes. None is dropped before it
 * expires: while there is no capacity, new jobs with a key are refused, which is harmless, whereas a forgotten run could
 * be repeated.
 */
final class KeptOutcomes {
    /** Memory that a kept outcome uses besides its key and result. */
    private static final long ENTRY_OVERHEAD_BYTES = 200;

    /** Outcome of a job that may have run: its result, or null if it failed. */
    record Outcome(String uniqueKey, ByteBuffer result, double expiresAtMs) {}

    private final Clock clock;
    private final int maxCount;
    private final long maxBytes;
    private final Map<String, Outcome> byUniqueKey = new HashMap<>();
    private final PriorityQueue<Outcome> byExpiry =
            new PriorityQueue<>((a, b) -> Double.compare(a.expiresAtMs(), b.expiresAtMs()));
    private long bytes;

    KeptOutcomes(Clock clock, int maxCount, long maxBytes) {
        this.clock = clock;
        this.maxCount = maxCount;
        this.maxBytes = maxBytes;
    }

    boolean hasCapacity(int openCount) {
        expire();
        return byUniqueKey.size() + openCount < maxCount && bytes < maxBytes;
    }

    void keep(String uniqueKey, ByteBuffer result, double forMs) {
        expire();
        Outcome outcome = new Outcome(uniqueKey, result, clock.nowMs() + forMs);
        Outcome previous = byUniqueKey.put(uniqueKey, outcome);
        if (previous != null) {
            byExpiry.remove(previous);
            bytes -= sizeBytes(previous);
        }
        byExpiry.add(outcome);
        bytes += sizeBytes(outcome);
    }

    Outcome find(String uniqueKey) {
        expire();
        return byUniqueKey.get(uniqueKey);
    }

    private void expire() {
        double nowMs = clock.nowMs();
        for (Outcome outcome = byExpiry.peek();
                outcome != null && outcome.expiresAtMs() <= nowMs;
                outcome = byExpiry.peek()) {
            byExpiry.poll();
            byUniqueKey.remove(outcome.uniqueKey(), outcome);
            bytes -= sizeBytes(outcome);
        }
    }

    private static long sizeBytes(Outcome outcome) {
        return ENTRY_OVERHEAD_BYTES
                + outcome.uniqueKey().length()
                + (outcome.result() == null ? 0 : outcome.result().remaining());
    }
}
