package plumpost.dispatch;

import java.nio.ByteBuffer;

/**
 * A result that a worker gave for a job: what a client is told with the answer "served". Only the core creates one, at the end of
 * an attempt, so that nothing else can serve a job.
 */
public final class WorkerResult {
    private final ByteBuffer bytes;
    private final JobSpec submission;

    private WorkerResult(ByteBuffer bytes, JobSpec submission) {
        this.bytes = bytes;
        this.submission = submission;
    }

    /** Creates the result that an attempt of a job gave. */
    static WorkerResult of(Attempt attempt, ByteBuffer bytes) {
        return new WorkerResult(bytes, attempt.spec());
    }

    /** Creates a result that is kept for those who submit the job again. It refers to no submission, nor to that one's body. */
    static WorkerResult kept(ByteBuffer bytes) {
        return new WorkerResult(bytes, null);
    }

    /** Returns the bytes of the result. */
    public ByteBuffer bytes() {
        return bytes.duplicate();
    }

    /** Returns whether the result was given for this very submission, and not for another one under the same id or key. */
    public boolean isFor(JobSpec ownSubmission) {
        return submission != null && submission == ownSubmission;
    }
}
