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

    private final long beganNs = System.nanoTime();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::order));
    private long added;

    /** Adds a step; of two at the same time, the one added first comes first. */
    void at(long ms, Action action) {
        steps.add(new Step(ms, added++, action));
    }

    /** Milliseconds from the timeline's beginning to a reading of {@link System#nanoTime}. */
    long since(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns - beganNs);
    }

    /** Plays all steps, each at its time or as soon after it as the one before has ended. */
    void play() throws Exception {
        for (Step step = steps.poll(); step != null; step = steps.poll()) {
            long leftNs = beganNs + TimeUnit.MILLISECONDS.toNanos(step.atMs) - System.nanoTime();
            if (leftNs > 0) {
                TimeUnit.NANOSECONDS.sleep(leftNs);
            }
            step.action.run();
        }
    }
}
