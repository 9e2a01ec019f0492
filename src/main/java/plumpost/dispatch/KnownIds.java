package plumpost.dispatch;

import java.nio.ByteBuffer;
import plumpost.count.Counters;
import plumpost.time.Clock;

/**
 * What is known of each unique key: whether its job is open, has ended after it may have run, or may run in another process of
 * this scheduler. An id that belongs to one client is known for as long as a job under it is open or may have run; jobs under
 * other keys may be joined, and their outcomes are kept to be told again.
 */
final class KnownIds {
    private final JobLedger ledger;
    private final KeptOutcomes keptOutcomes;
    private final RecentIds recentIds;
    private RunClaims runClaims = RunClaims.NONE;

    KnownIds(JobLedger ledger, Clock clock, Counters counters, DispatchCore.Bounds bounds) {
        this.ledger = ledger;
        this.keptOutcomes = new KeptOutcomes(clock, counters, bounds.keptOutcomes(), bounds.keptBytes());
        this.recentIds = new RecentIds(clock, bounds.openJobs());
    }

    /** Shares with the other processes of this scheduler which jobs have run, from now on. */
    void shareRuns(RunClaims claims) {
        runClaims = claims;
    }

    /** Claims a job that may not be repeated before its first attempt; returns whether it may run in this process. */
    boolean claimRun(OpenJob job) {
        if (job.spec.exclusive() && job.outlivesClients() && !job.claimed) {
            job.claimed = runClaims.claim(job.spec.unique());
            return job.claimed;
        }
        return true;
    }

    /**
     * Returns whether the job under the key of an id is open, has ended or may run in another process. Jobs whose repeats are
     * harmless are not claimed, so that the other processes know nothing of them.
     */
    boolean isKnown(String uniqueKey, boolean repeatable) {
        return ledger.findByUniqueKey(uniqueKey) != null
                || findOutcome(uniqueKey) != null
                || recentIds.contains(uniqueKey)
                || !repeatable && runClaims.isClaimedElsewhere(uniqueKey);
    }

    /** Returns the kept outcome under a unique key, or null. */
    KeptOutcomes.Outcome findOutcome(String uniqueKey) {
        return keptOutcomes.find(uniqueKey);
    }

    /** Returns whether the outcome of one more job can be kept, if that is needed because it outlives its clients. */
    boolean hasCapacity(boolean outlivesClients) {
        return !outlivesClients || keptOutcomes.hasCapacity(ledger.countOutcomesToKeep());
    }

    /** Records the end of a job, which is not closed yet, with its result or null. */
    void recordEnd(OpenJob job, ByteBuffer result) {
        boolean mayHaveRun = job.mayHaveRun();
        if (!mayHaveRun && job.claimed) {
            runClaims.release(job.spec.unique());
        }
        if (mayHaveRun && job.outlivesClients()) {
            boolean exclusive = job.spec.exclusive(); // such a result is told to its own client only, now
            keptOutcomes.keep(job.spec.unique(), exclusive ? null : result, job.jobClass.deadlineMs(), exclusive);
        } else if (job.spec.exclusive() && (mayHaveRun || !job.recipients.isEmpty())) {
            recentIds.add(job.spec.unique(), job.jobClass.deadlineMs());
        }
    }
}
