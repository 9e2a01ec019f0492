package plumpost.cli;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Steps of a test at times in milliseconds since the timeline was made, played in order on the calling thread. */
final class Timeline {
    /** One thing to do. */
    interface Action {
        void run() throws Exception;
    }

    private record Step(long atMs, long order, Action action) {}

    private final long startNs = System.nanoTime();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::order));
    private long addedCount;

    /** Adds a step; of two at the same time, the one added first comes first. */
    void schedule(long atMs, Action action) {
        steps.add(new Step(atMs, addedCount++, action));
    }

    /** Milliseconds from the timeline's beginning to a reading of {@link System#nanoTime}. */
    long sinceStartMs(long timeNs) {
        return TimeUnit.NANOSECONDS.toMillis(timeNs - startNs);
    }

    /** Plays all steps, each at its time or as soon after it as the one before has ended. */
    void run() throws Exception {
        for (Step step = steps.poll(); step != null; step = steps.poll()) {
            long delayNs = startNs + TimeUnit.MILLISECONDS.toNanos(step.atMs) - System.nanoTime();
            if (delayNs > 0) {
                TimeUnit.NANOSECONDS.sleep(delayNs);
            }
            step.action.run();
        }
    }
}
