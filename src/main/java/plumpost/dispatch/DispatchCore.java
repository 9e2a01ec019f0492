package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import plumpost.count.Counters;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Effect;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Outcome;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.decision.Logic;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The dispatch core: keeps the ledger of open jobs, drives the decision module and carries out its actions. It enforces
 * the job rules for all fronts in one place and does not depend on a network protocol. It is owned by one thread.
 */
public final class DispatchCore {
    /** Time after a job's deadline in which the module may still answer it; then the core fails the job itself. */
    private static final double BACKSTOP_MS = 2;

    private final JobClassRegistry classes;
    private Dispatcher.Settings settings;
    private final Clock clock;
    private final TimerWheel wheel;
    private final Counters counters;
    private final Consumer<String> log;
    private final RuleGuard guard;
    private final JobAudit audit;
    private final Bounds bounds;
    private final Dispatcher logic;
    private final KnownIds knownIds;
    private final WorkerRegistry workers = new WorkerRegistry();
    private final JobLedger ledger;
    private final JoinedClients joinedClients;
    private final EventQueue eventQueue;
    private final AttemptStarter starter;
    private RequestLog requestLog = RequestLog.disabled();

    /** Limits: open jobs and their bytes in memory, kept outcomes and their bytes, bytes of one streamed result. */
    public record Bounds(int openJobs, long bodyBytes, int keptOutcomes, long keptBytes, long resultBytes) {
        /** Creates bounds with streamed results of up to 64 KiB. */
        public Bounds(int openJobs, long bodyBytes, int keptOutcomes, long keptBytes) {
            this(openJobs, bodyBytes, keptOutcomes, keptBytes, 1 << 16);
        }
    }

    /** Creates a core with an empty ledger and no nodes. */
    public DispatchCore(
            Dispatcher.Settings settings,
            long seed,
            Clock clock,
            TimerWheel wheel,
            Counters counters,
            Bounds bounds,
            Consumer<String> log) {
        this(settings, clock, wheel, counters, bounds, log, actions -> new Logic(settings, seed, actions));
    }

    /** Creates a core with a decision module from a factory, which gets the actions that the module may request. */
    DispatchCore(
            Dispatcher.Settings settings,
            Clock clock,
            TimerWheel wheel,
            Counters counters,
            Bounds bounds,
            Consumer<String> log,
            Function<Dispatcher.Actions, Dispatcher> dispatcherFactory) {
        this.settings = settings;
        this.classes = new JobClassRegistry(settings);
        this.clock = clock;
        this.wheel = wheel;
        this.counters = counters;
        this.bounds = bounds;
        this.ledger = new JobLedger(bounds);
        this.joinedClients = new JoinedClients(this, clock, wheel, counters);
        this.log = log;
        this.eventQueue = new EventQueue(counters, log);
        this.guard = new RuleGuard(counters, log);
        this.starter = new AttemptStarter(this, workers, guard, ledger, counters, wheel);
        this.audit = new JobAudit(ledger, guard, clock, wheel, this::failAndForget);
        this.logic = dispatcherFactory.apply(
                new ModuleActions(this, ledger, workers, eventQueue, starter, wheel, counters, log));
        this.knownIds = new KnownIds(ledger, clock, counters, bounds);
    }

    /** Logs the events of each request from now on. */
    public void logRequests(RequestLog newLog) {
        requestLog = newLog;
    }

    /** Returns the log of the requests' events, in which a front records what only it knows of a request. */
    public RequestLog requestLog() {
        return requestLog;
    }

    /** Shares with the other processes of this scheduler which jobs have run, from now on. */
    public void shareRuns(RunClaims claims) {
        knownIds.shareRuns(claims);
    }

    /** Claims a job that may not be repeated before its first attempt; returns whether it may run in this process. */
    boolean claimRun(OpenJob job) {
        return knownIds.claimRun(job);
    }

    double nowMs() {
        return clock.nowMs();
    }

    /** Returns the number of open jobs: those without a final answer. */
    public int openJobCount() {
        return ledger.size();
    }

    /** Returns the live counts of open jobs for a kind of work. */
    public OpenJobCounts.Tally tally(WorkKind kind) {
        return ledger.counts().forKind(kind);
    }

    /** Calls the visitor with each open job, in no particular order; it must not end any of them. */
    public void forEachOpenJob(Consumer<OpenJob> visitor) {
        ledger.view().forEach(visitor);
    }

    /**
     * Returns why a job would be refused now, or null if {@link #submit} would accept it. This is the only place where the bounds are
     * checked: what a front tells its client as accepted must have passed it.
     */
    public Refusal findRefusal(JobSpec spec) {
        if (!ledger.hasCapacity(spec)) {
            return Refusal.OPEN_JOBS;
        }
        if (!knownIds.hasCapacity(spec.outlivesClients(settings.classes().get(spec.classIndex())))) {
            return Refusal.OUTCOMES;
        }
        return RuleGuard.tooLittleLeft(spec.patienceMs()) ? Refusal.TOO_LATE : null;
    }

    /** Returns whether a job under the spec's unique key is open or its outcome is kept, so that no new job is needed. */
    public boolean joinsKnownJob(JobSpec spec) {
        return spec.unique() != null
                && (ledger.findByUniqueKey(spec.unique()) != null || knownIds.findOutcome(spec.unique()) != null);
    }

    /** Returns the open job with an id, or null. */
    public OpenJob findJob(String id) {
        return ledger.find(id);
    }

    /** Returns the open job under a unique key, in the form that its front composes, or null. */
    public OpenJob findJobByUniqueKey(String uniqueKey) {
        return ledger.findByUniqueKey(uniqueKey);
    }

    /** Decides whether an attempt that waited may be sent. */
    void whenSendable(Attempt attempt, Runnable send, Runnable cancel) {
        starter.whenSendable(attempt, send, cancel);
    }

    boolean isServing(String node) {
        return workers.isServing(node);
    }

    /** Bans a node for an operator: once this call returns, no new attempt is sent to it. */
    public Bans.BanResult offline(String node) {
        Bans.BanResult result = workers.ban(node);
        if (result == Bans.BanResult.CHANGED) {
            counters.count("bans.out");
            resendEntry(node);
        }
        return result;
    }

    /** Lifts an operator's ban: the module gets the node's entry as the node list last gave it. */
    public Bans.BanResult online(String node) {
        Bans.BanResult result = workers.unban(node);
        if (result == Bans.BanResult.CHANGED) {
            counters.count("bans.in");
            resendEntry(node);
        }
        return result;
    }

    /** Returns whether a node list, the fleet or a ban has ever named the node. */
    public boolean known(String node) {
        return workers.isKnown(node);
    }

    /** Records a node that a list names before it is in use, so that operators can already ban it. */
    public void rememberNode(String node) {
        workers.remember(node);
    }

    /** Applies the fleet's decision to ban a node or to lift its ban, whether or not it was ever listed here. */
    public void applyFleetBan(String node, boolean isBanned) {
        workers.remember(node);
        if (isBanned) {
            offline(node);
        } else {
            online(node);
        }
    }

    /** Returns the bans as text, to hand over to the next process of this scheduler. */
    public String bansText() {
        return workers.bansText();
    }

    /** Replaces the bans by those that another process of this scheduler wrote; returns whether any node changed. */
    public boolean adoptBans(String text) {
        List<String> changed = workers.adopt(text);
        changed.forEach(this::resendEntry);
        return !changed.isEmpty();
    }

    /** Returns the settings in force: the newest, with each class ever known under the number that it first had. */
    public Dispatcher.Settings settings() {
        return settings;
    }

    /** Returns the longest deadline in milliseconds of the classes that the newest settings name; removed ones don't count. */
    public double longestDeadlineMs() {
        return classes.longestDeadlineMs();
    }

    /** Returns the number of the class with a name if it accepts new jobs, else -1. */
    public int findOfferedClass(String name) {
        return classes.findOffered(name, nowMs());
    }

    /** Applies new settings; open jobs keep their class. Invalid: IllegalArgumentException, and nothing changes. */
    public void retune(Dispatcher.Settings next) {
        Dispatcher.Settings merged = classes.retune(next, nowMs());
        settings = merged;
        counters.count("config.retuned");
        process(() -> logic.applySettings(nowMs(), merged));
    }

    /** Returns the names of the classes in the order of their numbers. */
    public List<String> classNames() {
        return settings.classes().stream().map(Dispatcher.JobClass::name).toList();
    }

    /** Returns the number of listed nodes. */
    public int listedNodes() {
        return workers.listedCount();
    }

    /** Returns how many listed nodes are banned by operators, plus how many the module avoids for their failures. */
    public int avoidedNodeCount() {
        return workers.countBannedListed() + logic.ejectedWorkers(nowMs());
    }

    private void resendEntry(String node) {
        WorkerEntry entry = workers.effectiveEntry(node);
        if (entry != null) {
            process(() -> logic.onWorkerList(nowMs(), ListMode.INCREMENTAL, List.of(entry)));
        }
    }

    /** Adds a source of route nodes; it is asked for changes when the module subscribes. */
    public void add(NodeList list) {
        workers.add(list);
    }

    /** Applies an update of a node list. A complete list replaces only this source's nodes; a failed call none. */
    public void applyList(NodeList source, ListMode mode, Collection<ListedNode> lines) {
        counters.count("list." + mode.name().toLowerCase(Locale.ROOT));
        counters.add("list.lines", lines.size());
        List<WorkerEntry> entries = workers.applyList(source, mode, lines);
        process(() -> logic.onWorkerList(nowMs(), mode, entries));
    }

    /**
     * Submits a job; its reply-to gets exactly one final answer. A resubmission under a unique key joins the open job
     * or gets the kept outcome, or is rejected where the key is an id that belongs to one client. Returns the open job that
     * will answer, or null if the answer was given immediately.
     */
    public OpenJob submit(JobSpec spec, ReplyTo replyTo) {
        return submit(spec, replyTo, null);
    }

    /** Submits a job that is handed out only under a lease if {@code leaseAuthority} is not null. */
    public OpenJob submit(JobSpec spec, ReplyTo replyTo, LeaseAuthority leaseAuthority) {
        Dispatcher.JobClass jobClass = settings.classes().get(spec.classIndex());
        counters.count("jobs.in." + jobClass.name());
        if (spec.exclusive() && isKnown(spec)) {
            counters.count("jobs.known_id");
            requestLog.event(spec.id(), "answered", "outcome=known_id");
            replyTo.rejectedAsKnown();
            return null;
        }
        if (spec.unique() != null) {
            OpenJob existing = ledger.findByUniqueKey(spec.unique());
            if (existing != null) {
                joinedClients.add(existing, spec, replyTo);
                requestLog.event(existing.spec.id(), "joined", "");
                if (existing.stream != null && existing.stream.isStarted()) {
                    replyTo.part(existing.stream.content());
                }
                return existing;
            }
            KeptOutcomes.Outcome outcome = knownIds.findOutcome(spec.unique());
            if (outcome != null) {
                counters.count("jobs.kept");
                requestLog.event(spec.id(), "answered", "outcome=kept");
                if (outcome.result() == null) {
                    counters.count("jobs.failed." + jobClass.name());
                    replyTo.failed();
                } else {
                    counters.count("jobs.served." + jobClass.name());
                    replyTo.served(WorkerResult.kept(outcome.result()));
                }
                return null;
            }
        }
        if (ledger.find(spec.id()) != null) {
            counters.count("jobs.twice");
            counters.count("jobs.failed." + jobClass.name());
            replyTo.failed();
            return null;
        }
        OpenJob job = new OpenJob(spec, jobClass, nowMs() + spec.patienceMs(), leaseAuthority);
        Refusal refusal = findRefusal(spec);
        if (refusal != null) {
            refuseAtOnce(spec, jobClass, refusal, replyTo);
            return null;
        }
        job.recipients.add(replyTo);
        ledger.add(job);
        if (requestLog.isEnabled()) {
            requestLog.event(
                    spec.id(),
                    "accepted",
                    "class=" + jobClass.name() + " remaining_ms=" + Math.round(spec.patienceMs()));
        }
        job.deadlineTimer = wheel.schedule(job.deadlineMs, () -> onDeadline(job));
        process(() -> logic.onJobArrived(
                nowMs(),
                new Dispatcher.Job(
                        spec.id(),
                        spec.classIndex(),
                        spec.tenant(),
                        spec.key(),
                        job.deadlineMs - nowMs(),
                        spec.costMs(),
                        spec.slots(),
                        spec.memory(),
                        spec.retry(),
                        spec.work().kind().number(),
                        spec.work().priority(),
                        spec.work().aimMs())));
        return job;
    }

    private void refuseAtOnce(JobSpec spec, Dispatcher.JobClass jobClass, Refusal refusal, ReplyTo replyTo) {
        if (refusal == Refusal.TOO_LATE) {
            counters.count("jobs.too_late");
        } else {
            counters.count("jobs.overfull");
            counters.count("jobs.overfull." + refusal.text());
        }
        requestLog.event(spec.id(), "refused", "reason=" + refusal.text());
        counters.count("jobs.refused." + jobClass.name());
        replyTo.refused(refusal.retryAfterMs());
    }

    /**
     * Removes a client that has left. When none is left the job is abandoned, unless it may have run and either may not be
     * repeated or may be joined: then it goes on to its end, since another run must not follow or others may ask for its outcome.
     */
    public void removeClient(OpenJob job, ReplyTo replyTo) {
        if (job.answered || !job.recipients.remove(replyTo) || !job.recipients.isEmpty()) {
            return;
        }
        counters.count("jobs.client_gone");
        if (requestLog.isEnabled()) {
            requestLog.event(
                    job.spec.id(), "client_gone", "by=" + replyTo.endReason() + " attempts=" + job.attempts.size());
        }
        if (!job.outlivesClients() || !job.mayHaveRun()) {
            job.abandoned = true;
            close(job, null);
            process(() -> logic.onClientGone(nowMs(), job.spec.id()));
            withdraw(job, Ending.CANCELLED);
        }
    }

    /** Ends a job that may have run and for which nobody waits any more, in place of a further attempt. */
    void endWithoutClients(OpenJob job) {
        if (!job.answered && job.recipients.isEmpty()) {
            failAndForget(job);
        }
    }

    /** Fails a job that another process of this scheduler has claimed first. */
    void endAsRunElsewhere(OpenJob job) {
        counters.count("jobs.ran_elsewhere");
        answer(job, "known_id", null, ReplyTo::rejectedAsKnown);
        process(() -> logic.onClientGone(nowMs(), job.spec.id()));
        withdraw(job, Ending.CANCELLED);
    }

    /** Ends all jobs that may have run and for which nobody waits any more, because the scheduler stops. */
    public void endJobsWithoutClients() {
        ledger.snapshot().forEach(this::endWithoutClients);
    }

    /** Cancels a job that no node has and answers its clients that it failed; false if a node has it. */
    public boolean cancelIfNotRunning(OpenJob job) {
        if (job.answered || job.running() && !job.outstandingAttempt().onHold) {
            return false;
        }
        counters.count("jobs.called_off");
        failAndForget(job);
        return true;
    }

    /** Cancels all selected jobs that no node has; returns how many. */
    public int cancelMatching(Predicate<OpenJob> selected) {
        List<OpenJob> matching = ledger.view().stream().filter(selected).toList();
        return (int) matching.stream().filter(this::cancelIfNotRunning).count();
    }

    /** Returns whether the id of a job is that of an open one, or of one that may have run. */
    public boolean isKnown(JobSpec spec) {
        return ledger.find(spec.id()) != null || isKnown(spec.unique(), spec.classIndex());
    }

    /** Returns whether a job under the unique key of an id is open here or has ended, or may have run in another process. */
    public boolean isKnown(String uniqueKey, int classIndex) {
        return knownIds.isKnown(uniqueKey, settings.classes().get(classIndex).effect() == Effect.FREE);
    }

    /** Returns whether the outcome of a job under a unique key is kept. */
    public boolean isOutcomeKept(String uniqueKey) {
        return knownIds.findOutcome(uniqueKey) != null;
    }

    /** Ends a job because the scheduler stops before its deadline, while its clients can still be answered. */
    public void endBeforeStop(OpenJob job) {
        if (!job.answered) {
            counters.count("jobs.cut_short");
            if (guard.mayRefuse(job)) {
                answer(job, "refused", null, reply -> reply.refused(0)); // another scheduler may still serve it in time
            } else {
                fail(job);
            }
            process(() -> logic.onClientGone(nowMs(), job.spec.id()));
            withdraw(job, Ending.CANCELLED);
        }
    }

    /** Starts the periodic check that no open job is without an answer after its deadline. */
    public void startAudit() {
        audit.start();
    }

    /** Runs the check at the end of the process: each job still open is reported as a violation and answered. */
    public void finishAudit() {
        audit.finish();
    }

    private void failAndForget(OpenJob job) {
        fail(job);
        process(() -> logic.onClientGone(nowMs(), job.spec.id()));
        withdraw(job, Ending.CANCELLED);
    }

    /** Reports that this process closed a connection before it answered its open job, which is a defect of a front. */
    public void closedUnanswered(OpenJob job) {
        guard.report(RuleGuard.Violation.CLOSED, job.spec.id(), "its connection was closed unanswered");
    }

    /** Reports that a front was about to tell a client a result that no worker made for its submission, which is a defect. */
    public void foreignResult(String jobId) {
        guard.report(RuleGuard.Violation.FOREIGN_RESULT, jobId, "the result was not made for this submission");
    }

    private void onDeadline(OpenJob job) {
        if (!job.answered) {
            withdraw(job, Ending.TIMEOUT);
            wheel.schedule(job.deadlineMs + BACKSTOP_MS, () -> {
                if (!job.answered) {
                    guard.report(RuleGuard.Violation.UNANSWERED, job.spec.id(), "left open by the module");
                    fail(job);
                    process(() -> logic.onClientGone(nowMs(), job.spec.id()));
                }
            });
        }
    }

    void withdraw(OpenJob job, Ending ending) {
        Attempt attempt = job.outstandingAttempt();
        if (attempt != null && attempt.onHold) {
            ended(attempt, Ending.MOOT, null, null);
        } else if (attempt != null) {
            attempt.link.giveUp(attempt);
            ended(attempt, ending, null, null);
        }
    }

    void fullySent(Attempt attempt) {
        counters.count("attempts.whole." + attempt.job.jobClass.name());
    }

    void started(Attempt attempt) {
        if (attempt.ending == null) {
            process(() -> logic.onAttemptStarted(nowMs(), attempt.job.spec.id(), attempt.number, attempt.node));
        }
    }

    void progressed(Attempt attempt, double progress) {
        if (attempt.ending == null) {
            attempt.job.progress = progress;
            List.copyOf(attempt.job.recipients).forEach(r -> r.progressed(progress));
            process(() ->
                    logic.onAttemptProgress(nowMs(), attempt.job.spec.id(), attempt.number, attempt.node, progress));
        }
    }

    void warned(Attempt attempt, ByteBuffer text) {
        if (attempt.ending == null) {
            List.copyOf(attempt.job.recipients).forEach(r -> r.warned(text));
        }
    }

    /** Passes a part of the result on to all clients; a part that contradicts earlier ones ends the attempt. */
    void part(Attempt attempt, ByteBuffer part) {
        OpenJob job = attempt.job;
        if (attempt.ending != null || job.answered) {
            return;
        }
        if (job.stream == null) {
            job.stream = new ResultStream((int) Math.min(bounds.resultBytes(), Integer.MAX_VALUE));
        }
        if (job.streamingAttempt != attempt) {
            job.streamingAttempt = attempt;
            job.stream.restart();
        }
        ByteBuffer added = job.stream.append(part);
        if (added == null) {
            failStream(attempt);
        } else if (added.hasRemaining()) {
            List.copyOf(job.recipients).forEach(r -> r.part(added.duplicate()));
        }
    }

    /** Returns the full result if its last part continues what was passed on; else fails the job and returns null. */
    private ByteBuffer completeResult(Attempt attempt, ByteBuffer lastPart) {
        ResultStream stream = attempt.job.stream;
        if (attempt.job.streamingAttempt != attempt) {
            attempt.job.streamingAttempt = attempt;
            stream.restart();
        }
        if (stream.append(lastPart) == null || !stream.hasCaughtUp()) {
            failStream(attempt);
            return null;
        }
        return stream.content();
    }

    /** Fails a job whose result is too long or contradicts the parts that its clients already have. */
    private void failStream(Attempt attempt) {
        counters.count("jobs.untold");
        attempt.link.giveUp(attempt);
        fail(attempt.job);
        ended(attempt, Ending.ERROR, null, null);
    }

    void ended(Attempt attempt, Ending ending, ByteBuffer result, LoadReport report) {
        if (attempt.ending != null) {
            return;
        }
        OpenJob job = attempt.job;
        ByteBuffer fullResult =
                ending == Ending.OK && job.stream != null && !job.answered ? completeResult(attempt, result) : result;
        if (ending == Ending.OK && fullResult == null && job.stream != null && !job.answered) {
            return; // its result could not be passed on: the attempt has ended as failed
        }
        attempt.ending = ending;
        requestLog.attempt(attempt, "attempt_ended", " ending=" + ending);
        ledger.counts().setRunning(job, false);
        counters.count("attempts." + ending.name().toLowerCase(Locale.ROOT));
        WorkerRegistry.Node worker = workers.find(attempt.node);
        if (worker != null) {
            worker.outstanding = Math.max(0, worker.outstanding - 1); // a node removed and listed again starts at 0
        }
        if (job.leaseAuthority != null && !attempt.onHold && ending != Ending.OK && !job.answered) {
            job.leaseAuthority.ended(attempt, ending.neverRan());
        }
        if (ending == Ending.OK && !job.answered) {
            WorkerResult served = WorkerResult.of(attempt, fullResult);
            answer(job, "served", fullResult, r -> r.served(served));
        }
        boolean answered = job.answered;
        process(() -> logic.onAttemptEnded(
                nowMs(),
                new Outcome(
                        job.spec.id(),
                        attempt.number,
                        attempt.node,
                        ending,
                        nowMs() - attempt.sentAtMs,
                        answered,
                        report)));
    }

    void fail(OpenJob job) {
        answer(job, "failed", null, reply -> {
            if (job.failureText == null) {
                reply.failed();
            } else {
                reply.failed(job.failureText.duplicate());
            }
        });
    }

    void refuse(OpenJob job, double retryAfterMs) {
        if (guard.mayRefuse(job)) {
            answer(job, "refused", null, reply -> reply.refused(retryAfterMs));
        } else {
            guard.report(RuleGuard.Violation.REFUSAL, job.spec.id(), "may have run and is failed");
            fail(job);
        }
    }

    private void answer(OpenJob job, String outcome, ByteBuffer result, Consumer<ReplyTo> reply) {
        List<ReplyTo> recipients = List.copyOf(job.recipients);
        close(job, result);
        counters.count("jobs." + outcome + "." + job.jobClass.name());
        requestLog.event(job.spec.id(), "answered", requestLog.isEnabled() ? "outcome=" + outcome : "");
        recipients.forEach(reply);
    }

    private void close(OpenJob job, ByteBuffer result) {
        knownIds.recordEnd(job, result);
        ledger.remove(job);
        job.answered = true;
        job.deadlineTimer.cancel();
        job.recipients.clear();
    }

    void process(Runnable event) {
        eventQueue.process(event);
    }

    /** Ends an attempt that was not sent and reports it to the module. */
    void reportNotSent(Attempt attempt) {
        OpenJob job = attempt.job;
        attempt.ending = Ending.MOOT;
        process(() -> logic.onAttemptEnded(
                nowMs(), new Outcome(job.spec.id(), attempt.number, attempt.node, Ending.MOOT, 0, job.answered, null)));
    }

    /** Tells the module that a timer which it requested is due. */
    void onTimer(long token) {
        process(() -> logic.onTimer(nowMs(), token));
    }

    /** Tells the module how a probe has ended. */
    void onProbeResult(String node, Ending ending, double waitMs, LoadReport report) {
        process(() -> logic.onProbeResult(nowMs(), node, ending, waitMs, report));
    }
}
