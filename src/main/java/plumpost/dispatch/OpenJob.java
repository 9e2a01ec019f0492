package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.time.TimerWheel;

/** A job in the ledger, from its submission to its final answer. */
public final class OpenJob {
    final JobSpec spec;
    final JobClass jobClass;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    final List<ReplyTo> recipients = new ArrayList<>(1);
    boolean answered;
    /** Whether it was closed because all its clients have left. */
    boolean abandoned;
    /** Whether this process has claimed the run of the job among the processes of its scheduler. */
    boolean claimed;

    TimerWheel.Timer deadlineTimer;
    /** The share that is done, as last reported. */
    double progress;

    /** Whether {@link OpenJobCounts} counts it as running. */
    boolean countedAsRunning;

    /** The result received in parts, or null before the first part. */
    ResultStream stream;

    /** The attempt that sent the last part of the result. */
    Attempt streamingAttempt;

    /** The reason that a node last gave for a failure, or null. */
    ByteBuffer failureText;
    /** Authority that must grant a lease before it is handed out, or null if this scheduler decides alone. */
    final LeaseAuthority leaseAuthority;

    OpenJob(JobSpec spec, JobClass jobClass, double deadlineMs, LeaseAuthority leaseAuthority) {
        this.leaseAuthority = leaseAuthority;
        this.spec = spec;
        this.jobClass = jobClass;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the attempt that has not ended, or null. */
    Attempt outstandingAttempt() {
        Attempt last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
        return last != null && last.ending == null ? last : null;
    }

    boolean mayHaveRun() {
        return firstPossibleRun() != null;
    }

    /** Returns whether its run counts beyond its clients: it may not simply be repeated, or others may join it. */
    boolean outlivesClients() {
        return spec.outlivesClients(jobClass);
    }

    /** Returns the first attempt that may have run, or null. */
    private Attempt firstPossibleRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Returns whether an attempt may go to a node: no earlier attempt may have run, or a repeat is harmless, either
     * always or, for a guarded class, within its window on the nodes that discard duplicates of the first attempt.
     */
    boolean mayRepeat(Attempt attempt, WorkerEntry target, double nowMs) {
        Attempt first = firstPossibleRun();
        return first == null
                || first == attempt
                || switch (jobClass.effect()) {
                    case FREE -> true;
                    case SINGLE_SHOT -> false;
                    case GUARDED ->
                        nowMs < first.sentAtMs + jobClass.windowMs()
                                && switch (jobClass.scope()) {
                                    case ALL -> true;
                                    case ZONE -> first.workerEntry.zone() == target.zone();
                                    case CELL -> first.workerEntry.cell() == target.cell();
                                };
                };
    }

    /** Returns the job as it was submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns whether an attempt is outstanding. */
    public boolean running() {
        return outstandingAttempt() != null;
    }

    /** Returns whether no client waits for its answer. */
    public boolean background() {
        return recipients.stream().noneMatch(ReplyTo::waits);
    }

    /** Returns the number of attempts made so far. */
    public int tries() {
        return attempts.size();
    }

    /** Returns the number of reply handlers that get its answer. */
    public int clients() {
        return recipients.size();
    }

    /** Returns the share that is done, as last reported. */
    public double share() {
        return progress;
    }
}
