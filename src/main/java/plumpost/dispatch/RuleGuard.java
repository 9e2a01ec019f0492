package plumpost.dispatch;

import java.util.Locale;
import java.util.function.Consumer;
import plumpost.count.Counters;
import plumpost.decision.Dispatcher.Effect;
import plumpost.time.HoldUp;

/**
 * Enforces the rules that hold whatever the module or a front requests: when an attempt may start or be repeated, a job be
 * refused, a connection be closed and the process end. Each violation is counted as {@code guard.NAME} and logged with the
 * job's id; in normal operation all of these counters stay at 0.
 */
final class RuleGuard {
    /** Attempts that may be outstanding on a cold worker whatever the module requests, to protect it from overload. */
    private static final int MAX_OUTSTANDING_WHEN_COLD = 4;

    /** A rule that a requested action would break. */
    enum Violation {
        /** An attempt for a job that has its final answer. */
        OVER,
        /** An attempt on a worker that drains, is gone, is banned or does not run the kind of work. */
        DRAIN,
        /** An attempt while another one of the same job is outstanding. */
        SECOND_COPY,
        /** More attempts than the settings allow. */
        ATTEMPTS,
        /** A repeat of a job that may have run, where a repeat is not harmless. */
        REPEAT,
        /** An attempt for a job whose deadline has passed. */
        LATE,
        /** More outstanding attempts than a cold worker may have. */
        COLD,
        /** A refusal of an order that may have run. */
        REFUSAL,
        /** A job without an answer after its deadline. */
        UNANSWERED,
        /** A connection that this process closed before it answered its open job. */
        CLOSED,
        /** A result for a client that did not submit the job. */
        FOREIGN_RESULT,
        /** The end of the process while a job has no answer. */
        ENDED
    }

    private final Counters counters;
    private final Consumer<String> log;

    RuleGuard(Counters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
    }

    /** Returns the rule that an attempt for an open job on a worker would break now, or null. */
    Violation findViolation(OpenJob job, WorkerRegistry.Node worker, boolean banned, Limits limits, double nowMs) {
        if (worker == null
                || !worker.isServing()
                || banned
                || !worker.listing.entry().runsWork(job.spec.work().kind().number(), limits.classes())) {
            return Violation.DRAIN;
        }
        if (job.outstandingAttempt() != null) {
            return Violation.SECOND_COPY;
        }
        if (job.attempts.size() >= limits.maxAttempts()) {
            return Violation.ATTEMPTS;
        }
        if (!job.mayRepeat(null, worker.listing.entry(), nowMs)) {
            return Violation.REPEAT;
        }
        if (nowMs >= job.deadlineMs) {
            return Violation.LATE;
        }
        return isCold(worker, limits, nowMs) && worker.outstanding >= MAX_OUTSTANDING_WHEN_COLD ? Violation.COLD : null;
    }

    /** The settings in force on which the rules depend. */
    record Limits(int classes, int maxAttempts, double coldMs) {}

    private static boolean isCold(WorkerRegistry.Node worker, Limits limits, double nowMs) {
        double startedAt = worker.listing.entry().cameUpMs();
        return startedAt > 0 && nowMs - startedAt < limits.coldMs();
    }

    /** Returns whether a job may be refused, after which its client may send it again anywhere. */
    boolean mayRefuse(OpenJob job) {
        return !job.mayHaveRun() || job.jobClass.effect() == Effect.FREE;
    }

    /**
     * Returns whether so little time is left to the client that an attempt could start too long after it has left if the
     * process is held up.
     */
    static boolean tooLittleLeft(double leftMs) {
        return leftMs < HoldUp.LEAST_LEFT_MS;
    }

    /** Counts and logs a violation, whether it was prevented or has happened. */
    void report(Violation violation, String jobId, String detail) {
        String name = violation.name().toLowerCase(Locale.ROOT);
        counters.count("guard." + name);
        log.accept("guard " + name + ": job " + jobId + ", " + detail);
    }
}
