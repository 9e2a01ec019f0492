package plumpost.dispatch;

import plumpost.count.Counters;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The clients that submitted an open job again: each waits for its outcome for as long as its own submission allows, since the
 * job may have longer, as a background job has.
 */
final class JoinedClients {
    private final DispatchCore core;
    private final Clock clock;
    private final TimerWheel wheel;
    private final Counters counters;

    JoinedClients(DispatchCore core, Clock clock, TimerWheel wheel, Counters counters) {
        this.core = core;
        this.clock = clock;
        this.wheel = wheel;
        this.counters = counters;
    }

    /** Lets a client wait for the outcome of an open job. */
    void add(OpenJob job, JobSpec spec, ReplyTo replyTo) {
        counters.count("jobs.joined");
        job.recipients.add(replyTo);
        double waitUntilMs = clock.nowMs() + spec.patienceMs();
        if (replyTo.waits() && waitUntilMs < job.deadlineMs) {
            wheel.schedule(waitUntilMs, () -> endWaiting(job, replyTo));
        }
    }

    /** Answers a client that has waited for as long as it may; the job goes on for others, or if it may have run. */
    private void endWaiting(OpenJob job, ReplyTo replyTo) {
        if (!job.answered && job.recipients.contains(replyTo)) {
            counters.count("jobs.joined_too_long");
            counters.count("jobs.failed." + job.jobClass.name());
            core.removeClient(job, replyTo);
            replyTo.failed();
        }
    }
}
