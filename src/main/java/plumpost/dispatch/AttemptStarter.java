package plumpost.dispatch;

import plumpost.count.Counters;
import plumpost.decision.Dispatcher.Ending;
import plumpost.time.TimerWheel;

/**
 * Starts the attempts that the decision module requests, for all fronts: checks the rules, and sends an attempt once its lease
 * is granted and its clients are known to be there.
 */
final class AttemptStarter {
    private final DispatchCore core;
    private final WorkerRegistry workers;
    private final RuleGuard guard;
    private final JobLedger ledger;
    private final Counters counters;
    private final TimerWheel wheel;

    AttemptStarter(
            DispatchCore core,
            WorkerRegistry workers,
            RuleGuard guard,
            JobLedger ledger,
            Counters counters,
            TimerWheel wheel) {
        this.core = core;
        this.workers = workers;
        this.guard = guard;
        this.ledger = ledger;
        this.counters = counters;
        this.wheel = wheel;
    }

    /** Starts an attempt, the only place that does so for all fronts; one that breaks a rule ends as not sent. */
    void start(String jobId, OpenJob job, String node) {
        if (job == null || job.answered && !job.abandoned) {
            guard.report(RuleGuard.Violation.OVER, jobId, "an attempt on " + node + " after its answer");
            return;
        }
        ClientPresence presence = ClientPresence.poll(job);
        if (job.abandoned || presence == ClientPresence.GONE) {
            core.endWithoutClients(job);
            core.reportNotSent(new Attempt(core, job, node, null, null, core.nowMs()));
            return;
        }
        if (!core.claimRun(job)) {
            core.endAsRunElsewhere(job);
            core.reportNotSent(new Attempt(core, job, node, null, null, core.nowMs()));
            return;
        }
        WorkerRegistry.Node worker = workers.find(node);
        RuleGuard.Violation violation = guard.findViolation(
                job,
                worker,
                workers.isBanned(node),
                new RuleGuard.Limits(
                        core.settings().classes().size(),
                        core.settings().limits().maxAttempts(),
                        core.settings().rules().coldMs()),
                core.nowMs());
        Attempt attempt = new Attempt(
                core,
                job,
                node,
                worker == null ? null : worker.listing.link(),
                worker == null ? null : worker.listing.entry(),
                core.nowMs());
        job.attempts.add(attempt);
        if (violation != null) {
            guard.report(violation, jobId, "attempt " + attempt.number + " on " + node + " not sent");
            core.requestLog().attempt(attempt, "attempt_not_sent", " reason=" + violation);
            core.reportNotSent(attempt);
            return;
        }
        if (RuleGuard.tooLittleLeft(job.deadlineMs - core.nowMs())) {
            counters.count("attempts.too_little_left");
            core.requestLog().attempt(attempt, "attempt_not_sent", " reason=TOO_LITTLE_LEFT");
            core.reportNotSent(attempt);
            return;
        }
        counters.count("attempts.out");
        core.requestLog().attempt(attempt, "attempt", "");
        worker.outstanding++;
        ledger.counts().setRunning(job, true);
        attempt.onHold = true;
        if (job.leaseAuthority == null && presence == ClientPresence.PRESENT) {
            send(attempt);
        } else if (job.leaseAuthority == null) {
            core.requestLog().attempt(attempt, "attempt_held", " reason=client_unread");
            pollAgain(attempt, () -> send(attempt), () -> core.ended(attempt, Ending.MOOT, null, null));
        } else {
            job.leaseAuthority.requestLease(attempt, yes -> onLeaseDecision(attempt, yes));
        }
    }

    /** Sends an attempt that has waited for its lease, or ends it as not sent. */
    private void onLeaseDecision(Attempt attempt, boolean granted) {
        if (granted) {
            whenSendable(attempt, () -> send(attempt), () -> {
                attempt.job.leaseAuthority.leaseNotUsed(attempt);
                core.ended(attempt, Ending.MOOT, null, null);
            });
        } else {
            core.ended(attempt, Ending.MOOT, null, null);
        }
    }

    private static void send(Attempt attempt) {
        attempt.onHold = false;
        attempt.link.send(attempt);
    }

    /** Calls one of the two once it is known whether a client of the job is still there. */
    void whenSendable(Attempt attempt, Runnable send, Runnable cancel) {
        ClientPresence presence = ClientPresence.poll(attempt.job);
        if (presence == ClientPresence.GONE || !attempt.mayStillBeSent()) {
            cancel.run();
        } else if (presence == ClientPresence.PRESENT) {
            send.run();
        } else if (RuleGuard.tooLittleLeft(attempt.leftMs())) {
            cancel.run();
        } else {
            pollAgain(attempt, send, cancel);
        }
    }

    /** Decides again once more has been read of what the clients have sent. */
    private void pollAgain(Attempt attempt, Runnable send, Runnable cancel) {
        counters.count("attempts.client_unread");
        wheel.schedule(core.nowMs(), () -> whenSendable(attempt, send, cancel));
    }
}
