package plumpost.lab.gearman;

import java.util.SplittableRandom;

/** What goes wrong with a job; drawn from the plan's seed and the job's number, so that each run has the same ones. */
enum Fault {
    NONE,
    /** The worker's connection ends in the middle of the job, after half its data. */
    DROP,
    /** The worker never ends the job; its connection ends after a while. */
    STALL,
    /** The worker ends the job twice. */
    TWICE,
    /** The worker also ends a job that is not its own. */
    FOREIGN,
    /** The worker sends garbage after the job. */
    GARBAGE,
    /** The worker sleeps through the next wake-up. */
    SLEEP,
    /** The worker cannot do one function for a while: a drain. */
    DRAIN,
    /** The worker says that the job failed. */
    FAIL,
    /** The client's connection ends while it waits; it comes again under the same key. */
    LEAVE,
    /** Another connection submits the same key at once. */
    RESUBMIT,
    /** The client sends half a packet and ends; it comes again under the same key. */
    HALF,
    /** A connection asks for much and never reads. */
    MUTE,
    /** Many connections come and go at once. */
    STORM;

    private static final Fault[] ALL = values();

    /** The fault of a job's run, at a share of jobs. */
    static Fault of(long seed, int job, double share) {
        SplittableRandom random = new SplittableRandom(seed ^ job * 0x9E3779B97F4A7C15L);
        if (random.nextDouble() >= share) {
            return NONE;
        }
        Fault f = ALL[1 + random.nextInt(ALL.length - 1)];
        // Storms and mute connections cost much and are one in fifty of what is drawn of them.
        return f.ordinal() < MUTE.ordinal() || random.nextInt(50) == 0 ? f : RESUBMIT;
    }

    boolean onWorker() {
        return this != NONE && ordinal() <= FAIL.ordinal();
    }
}
