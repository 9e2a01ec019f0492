package plumpost.lab.gearman;

import java.util.SplittableRandom;

/** A fault that is injected on a job, drawn from the plan's seed and the job's number, so that it is reproducible. */
enum Fault {
    NONE,
    /** The worker's connection ends in the middle of the job, after half its data. */
    DROP,
    /** The worker never ends the job; its connection ends some time later. */
    STALL,
    /** The worker ends the job twice. */
    TWICE,
    /** The worker also ends a job that is not its own. */
    FOREIGN,
    /** The worker sends garbage after the job. */
    GARBAGE,
    /** The worker reacts late to its next wake-up. */
    SLEEP,
    /** The worker withdraws one function for a time, as in a drain. */
    DRAIN,
    /** The worker reports that the job failed. */
    FAIL,
    /** The client disconnects while it waits and submits again under the same key. */
    LEAVE,
    /** Another connection submits the same key at the same time. */
    RESUBMIT,
    /** The client disconnects after half a packet and submits again under the same key. */
    HALF,
    /** A connection requests much data and never reads it. */
    MUTE,
    /** Many connections open and close at the same time. */
    STORM;

    private static final Fault[] ALL = values();

    /** Draws the fault of a job, where {@code share} is the fraction of jobs with a fault. */
    static Fault draw(long seed, int job, double share) {
        SplittableRandom random = new SplittableRandom(seed ^ job * 0x9E3779B97F4A7C15L);
        if (random.nextDouble() >= share) {
            return NONE;
        }
        Fault fault = ALL[1 + random.nextInt(ALL.length - 1)];
        // Storms and mute connections are expensive: 49 in 50 of those drawn become RESUBMIT.
        return fault.ordinal() < MUTE.ordinal() || random.nextInt(50) == 0 ? fault : RESUBMIT;
    }

    boolean isWorkerFault() {
        return this != NONE && ordinal() <= FAIL.ordinal();
    }
}
