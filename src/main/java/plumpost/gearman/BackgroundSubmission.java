package plumpost.gearman;

import plumpost.dispatch.JobSpec;

/**
 * A submitted job for which no client waits. Once it is taken, nobody hears of a refusal, so a job that the core refuses after
 * that, which never ran, is submitted again until its time is over.
 */
final class BackgroundSubmission extends Submission {
    private final GearmanFront front;
    private final JobSpec request;
    private final double deadlineMs;
    private boolean taken;

    BackgroundSubmission(GearmanFront front, JobSpec request) {
        super(null, front.handleOf(request.id()));
        this.front = front;
        this.request = request;
        this.deadlineMs = front.context.clock().nowMs() + request.patienceMs();
    }

    /** Records that a client has been told, or is told now, that the job is taken. */
    BackgroundSubmission taken() {
        taken = true;
        return this;
    }

    @Override
    void announce(GearmanConnection connection) {
        taken();
        super.announce(connection);
    }

    @Override
    public void refused(double retryAfterMs) {
        super.refused(retryAfterMs);
        double leftMs = deadlineMs - front.context.clock().nowMs();
        if (taken && leftMs > 0 && !front.stopping()) {
            front.resubmitLater(request.withPatience(leftMs), retryAfterMs);
        }
    }
}
