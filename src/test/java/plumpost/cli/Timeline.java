package plumpost.cli;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Runs the actions of a test in order on the calling thread, at times in milliseconds since the timeline was created. */
final class Timeline {
    /** One action. */
    interface Action {
        void run() throws Exception;
    }

    private record Step(long atMs, long order, Action action) {}

    private final long startNs = System.nanoTime();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::order));
    private long addedCount;

    /** Adds an action; actions with the same time run in the order in which they were added. */
    void schedule(long atMs, Action action) {
        steps.add(new Step(atMs, addedCount++, action));
    }

    /** Converts a reading of {@link System#nanoTime} to milliseconds since the timeline was created. */
    long sinceStartMs(long timeNs) {
        return TimeUnit.NANOSECONDS.toMillis(timeNs - startNs);
    }

    /** Runs all actions, each at its time or, if that is later, when the previous one has ended. */
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
