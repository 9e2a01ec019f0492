package plumpost.dispatch;

import java.util.function.Consumer;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * Checks at run time that every job gets its final answer in time. Timers and the module are responsible for that; a job
 * that both have left open is a defect, which is counted, logged with the job's id and corrected by answering the job.
 */
final class JobAudit {
    /** Interval between two scans of the open jobs. */
    private static final double SCAN_INTERVAL_MS = 250;
    /** Age past the deadline that is reported; the protocol counts an answer as lost 500 ms after the deadline. */
    private static final double OVERDUE_AFTER_MS = 200;

    private final JobLedger ledger;
    private final RuleGuard guard;
    private final Clock clock;
    private final TimerWheel wheel;
    private final Consumer<OpenJob> answerJob;

    /** Creates an audit that passes overdue jobs to {@code answerJob}. */
    JobAudit(JobLedger ledger, RuleGuard guard, Clock clock, TimerWheel wheel, Consumer<OpenJob> answerJob) {
        this.ledger = ledger;
        this.guard = guard;
        this.clock = clock;
        this.wheel = wheel;
        this.answerJob = answerJob;
    }

    /** Starts scanning the open jobs at intervals. */
    void start() {
        wheel.schedule(clock.nowMs() + SCAN_INTERVAL_MS, () -> {
            start(); // first, so that an exception in one scan does not stop the next ones
            scan();
        });
    }

    private void scan() {
        double overdueBefore = clock.nowMs() - OVERDUE_AFTER_MS;
        for (OpenJob job : ledger.snapshot()) {
            if (job.deadlineMs < overdueBefore) {
                reportAndAnswer(RuleGuard.Violation.UNANSWERED, job, "found open after its time");
            }
        }
    }

    /** Reports and answers every job that is still open when the process ends. */
    void finish() {
        for (OpenJob job : ledger.snapshot()) {
            reportAndAnswer(RuleGuard.Violation.ENDED, job, "open at the end of the process");
        }
    }

    private void reportAndAnswer(RuleGuard.Violation violation, OpenJob job, String detail) {
        if (!job.answered) {
            guard.report(violation, job.spec.id(), detail);
            answerJob.accept(job);
        }
    }
}
