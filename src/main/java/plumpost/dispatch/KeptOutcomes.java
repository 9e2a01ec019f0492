package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import plumpost.count.Counters;
import plumpost.time.Clock;

/**
 * Outcomes of jobs that may have run, kept by their unique key so that a resubmission is told the outcome and does not run
 * again. They are bounded in number and bytes, for both fronts together. An outcome is kept for certain during its class's
 * deadline: while there is no capacity, new jobs with a key are refused, which is harmless. After that it is dropped, or, where
 * a key names one job only, kept until its place is needed, the oldest first.
 */
final class KeptOutcomes {
    /** Memory that a kept outcome uses besides its key and result. */
    private static final long ENTRY_OVERHEAD_BYTES = 200;

    private static final String COUNT_GAUGE = "jobs.kept_outcomes";
    private static final String EVICTED_COUNTER = "jobs.kept_evicted";

    /** Outcome of a job that may have run: its result, or null if it failed. */
    record Outcome(String uniqueKey, ByteBuffer result, double expiresAtMs, boolean keptAfterExpiry) {}

    private final Clock clock;
    private final Counters counters;
    private final int maxCount;
    private final long maxBytes;
    private final Map<String, Outcome> byUniqueKey = new HashMap<>();
    private final PriorityQueue<Outcome> byExpiry =
            new PriorityQueue<>((a, b) -> Double.compare(a.expiresAtMs(), b.expiresAtMs()));
    /** Expired outcomes whose place is not needed yet, oldest first. */
    private final Set<String> evictableKeys = new LinkedHashSet<>();

    private long bytes;

    KeptOutcomes(Clock clock, Counters counters, int maxCount, long maxBytes) {
        this.clock = clock;
        this.counters = counters;
        this.maxCount = maxCount;
        this.maxBytes = maxBytes;
    }

    /** Returns whether the outcomes of that many open jobs and of one more can be kept. */
    boolean hasCapacity(int openCount) {
        expire();
        evictFor(openCount);
        return fits(openCount);
    }

    private boolean fits(int openCount) {
        return byUniqueKey.size() + openCount < maxCount && bytes < maxBytes;
    }

    private void evictFor(int openCount) {
        while (!evictableKeys.isEmpty() && !fits(openCount)) {
            remove(evictableKeys.iterator().next());
            counters.count(EVICTED_COUNTER);
        }
    }

    /**
     * Keeps an outcome.
     *
     * @param forMs how long it is kept for certain
     * @param afterExpiry whether it is kept longer, until its place is needed
     */
    void keep(String uniqueKey, ByteBuffer result, double forMs, boolean afterExpiry) {
        expire();
        remove(uniqueKey);
        Outcome outcome = new Outcome(uniqueKey, result, clock.nowMs() + forMs, afterExpiry);
        byUniqueKey.put(uniqueKey, outcome);
        byExpiry.add(outcome);
        bytes += sizeBytes(outcome);
        counters.set(COUNT_GAUGE, byUniqueKey.size());
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
            if (outcome.keptAfterExpiry()) {
                byExpiry.poll();
                evictableKeys.add(outcome.uniqueKey());
            } else {
                remove(outcome.uniqueKey());
            }
        }
    }

    private void remove(String uniqueKey) {
        Outcome outcome = byUniqueKey.remove(uniqueKey);
        if (outcome != null) {
            if (!evictableKeys.remove(uniqueKey)) {
                byExpiry.remove(outcome);
            }
            bytes -= sizeBytes(outcome);
            counters.set(COUNT_GAUGE, byUniqueKey.size());
        }
    }

    private static long sizeBytes(Outcome outcome) {
        return ENTRY_OVERHEAD_BYTES
                + outcome.uniqueKey().length()
                + (outcome.result() == null ? 0 : outcome.result().remaining());
    }
}
