package plumpost.dispatch;

import java.util.function.Consumer;

/**
 * Port to a replicated ledger that grants leases: the right to hand a job to a worker. A job submitted with an authority
 * is not sent to its node until the lease is granted; a job without one has no such step.
 */
public interface LeaseAuthority {
    /** Requests a lease to hand the job out once; calls back, immediately or later, with whether it was granted. */
    void requestLease(Attempt attempt, Consumer<Boolean> onDecision);

    /** Reports that a granted lease is not used: no node has seen the job. */
    void leaseNotUsed(Attempt attempt);

    /** Reports that an attempt under a lease ended without a result; {@code neverRan} if it certainly did not run. */
    void ended(Attempt attempt, boolean neverRan);
}
