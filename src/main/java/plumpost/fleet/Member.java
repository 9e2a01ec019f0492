package plumpost.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.count.Counters;
import plumpost.fleet.Duties.Duty;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Sessions.Session;
import plumpost.peers.Fleet;
import plumpost.peers.Host;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;
import plumpost.time.UnixTime;

/**
 * One scheduler's part in the fleet, without I/O: it keeps a session in the log and a copy of the replicated state, does
 * the duties that it owns, and runs the planned jobs that are assigned to it. What it does follows from the replicated
 * state and not from what it remembers having proposed, so that lost answers, restarts of the engine and repeated entries
 * need no special handling. It acts only while it has a lease, that is, while a leader has recently received its
 * heartbeat; the log decides whether an action is valid.
 */
public final class Member implements Fleet, FleetLog.Listener {
    private static final double TICK_MS = 50;
    /** An equal entry is not proposed again sooner than this. */
    private static final double REPROPOSE_MS = 1000;
    /** An operator's request is answered after this time as not known; it can be repeated without harm. */
    private static final double OPERATOR_REQUEST_LIMIT_MS = 800;

    /** The time after which a caller may try again what was not proposed. */
    private static final int RETRY_AFTER_MS = 1000;

    /** A shutdown waits for this long until the log confirms an entry, then goes on without it. */
    private static final double LEAVE_TIMEOUT_MS = 400;

    private final PeersConfig config;
    private final Host host;
    private final Clock clock;
    private final UnixTime unixTime;
    private final TimerWheel wheel;
    private final Counters counters;
    private final Consumer<String> logger;
    private final FleetState state = new FleetState();
    private final SessionRunner sessionRunner;
    private final ScheduleRunner schedule;
    private final DiscoveryRunner discovery;
    /** Null if the configuration covers no class. */
    private final OrderRunner orders;

    private FleetLog log;
    private final Map<Object, Double> lastProposedMs = new HashMap<>();
    private final PendingRequests pendingRequests;
    private boolean pollScheduled;
    private boolean halted;
    private boolean stopping;
    private boolean started;
    private boolean leaving;
    private double leaveDeadlineMs;
    private boolean closed;
    private boolean hadLease;
    private long countedSyncs;

    /**
     * Creates a member that takes part once {@link #begin} is called.
     *
     * @param nonce a value that each process draws anew
     * @param directoryId the identity of its data directory
     * @param asksDiscovery whether this process can query discovery
     */
    public Member(
            PeersConfig config,
            String nonce,
            String directoryId,
            boolean asksDiscovery,
            Host host,
            Clock clock,
            UnixTime unixTime,
            TimerWheel wheel,
            Counters counters,
            Consumer<String> logger) {
        this.config = config;
        this.host = host;
        this.clock = clock;
        this.unixTime = unixTime;
        this.wheel = wheel;
        this.counters = counters;
        this.logger = logger;
        pendingRequests = new PendingRequests(clock, wheel);
        List<Offer> offers = new ArrayList<>(List.of(new Offer(FleetState.SCHEDULE, "")));
        if (asksDiscovery) {
            offers.add(new Offer(
                    FleetState.DISCOVERY + config.self().site(), config.self().site()));
        }
        if (!config.covered().classes().isEmpty()) {
            offers.add(new Offer(FleetState.LEDGER, ""));
        }
        sessionRunner = new SessionRunner(this, host, config, nonce, directoryId, offers);
        schedule = new ScheduleRunner(this, host);
        orders = config.covered().classes().isEmpty() ? null : new OrderRunner(this, host, config.covered());
        discovery = new DiscoveryRunner(
                this,
                host,
                asksDiscovery ? FleetState.DISCOVERY + config.self().site() : null,
                config.discoveryAgeMs());
    }

    /** Sets the log that it takes part in; to be called before {@link #begin}. */
    public void setLog(FleetLog newLog) {
        log = newLog;
    }

    @Override
    public void begin() {
        tick();
    }

    // ---- used by the runners ----

    /** Monotonic time, for measuring durations. */
    double nowMs() {
        return clock.nowMs();
    }

    /** Unix time, which decides when planned jobs are due. */
    double unixTimeMs() {
        return unixTime.nowMs();
    }

    FleetState state() {
        return state;
    }

    String name() {
        return config.self().name();
    }

    long incarnation() {
        return sessionRunner.incarnation();
    }

    /** Whether this process may act for the fleet now; checked before every action, since the process may have been suspended. */
    boolean mayAct() {
        return sessionActive() && !stopping;
    }

    /** Whether its session runs as far as it knows: it may then hand out and record what it has begun, even while leaving. */
    boolean sessionActive() {
        return sessionRunner.holdsLease(nowMs()) && !halted;
    }

    boolean stopping() {
        return stopping;
    }

    /** Returns the fence under which this session owns a duty and may act on it, or 0. */
    long fence(String dutyName) {
        Duty duty = state.duties().find(dutyName);
        return duty != null && mayAct() && duty.owner().equals(name()) && duty.incarnation() == incarnation()
                ? duty.fence()
                : 0;
    }

    /**
     * Proposes an entry unless one with the same key was proposed within the last second; returns whether it did. Having
     * received the outcome does not shorten that time, since the local copy of the state may not show the entry yet.
     */
    boolean proposeOnce(Object key, Entry entry, Consumer<Outcome> callback) {
        Double previousMs = lastProposedMs.get(key);
        if (previousMs != null && nowMs() - previousMs < REPROPOSE_MS) {
            return false;
        }
        double proposedMs = nowMs();
        lastProposedMs.put(key, proposedMs);
        log.propose(entry, outcome -> {
            if (outcome == null) {
                lastProposedMs.remove(key, proposedMs);
            }
            callback.accept(outcome);
        });
        return true;
    }

    void count(String name) {
        counters.count("fleet." + name);
    }

    void logLine(String message) {
        logger.accept("fleet: " + message);
    }

    void runAfter(double delayMs, Runnable task) {
        wheel.schedule(nowMs() + delayMs, task);
    }

    // ---- session and duties ----

    private void tick() {
        if (closed) {
            return;
        }
        runAfter(TICK_MS, this::tick);
        if (halted || log == null) {
            return;
        }
        double nowMs = nowMs();
        sessionRunner.tick(nowMs);
        if (lastProposedMs.size() > 1000) {
            lastProposedMs.values().removeIf(proposedMs -> nowMs - proposedMs >= REPROPOSE_MS);
        }
        for (long totalSyncs = log.syncs(); countedSyncs < totalSyncs; countedSyncs++) {
            count("synced");
        }
        boolean hasLease = mayAct();
        if (hadLease && !hasLease && !stopping) {
            count("lease_ended");
            logger.accept("fleet: no leader has acknowledged this scheduler for "
                    + Math.round(config.sessionTimeoutMs() * 2 / 3)
                    + " ms: it does no fleet duty and serves on by itself");
        }
        if (hasLease && !hadLease) {
            logLine("acknowledged by the leader, incarnation " + incarnation() + " takes part");
        }
        hadLease = hasLease;
        if (stopping) {
            finishLeaving();
        }
        if (hasLease) {
            sessionRunner.reportFunctions(nowMs);
        }
        if (hasLease && log.behindMs() > config.sessionTimeoutMs() * 2 / 3) {
            yieldDuties();
        }
        poll();
    }

    /** Passes its duties on while its copy of the state lags, for instance because of a slow disk: another does them sooner. */
    private void yieldDuties() {
        for (Duty duty : state.duties().all()) {
            long fence = fence(duty.name());
            if (fence > 0) {
                proposeOnce(
                        "late " + duty.name(),
                        new Entry.Yield(duty.name(), fence),
                        outcome -> logLine("the local state has been behind the log for " + Math.round(log.behindMs())
                                + " ms: yields " + duty.name()));
            }
        }
    }

    /** Handles the end of its session: nothing more is done on its behalf, and work that no worker has is recalled. */
    void sessionEnded(String reason) {
        count("lost");
        logger.accept("fleet: incarnation " + incarnation() + " is over: " + reason);
        sessionRunner.reset();
        lastProposedMs.clear();
        schedule.sessionEnded();
        if (orders != null) {
            orders.sessionEnded();
        }
    }

    /** The log that it takes part in. */
    FleetLog log() {
        return log;
    }

    // ---- callbacks of the log ----

    @Override
    public void applied(Entry entry, long term) {
        List<FleetEvent> events = new ArrayList<>();
        Outcome outcome = state.apply(entry, term, events);
        events.forEach(this::onEvent);
        pendingRequests.onApplied(entry, outcome);
        if (!pollScheduled) {
            pollScheduled = true;
            // Entries that are applied together are followed by one poll.
            runAfter(0, () -> {
                pollScheduled = false;
                poll();
            });
        }
    }

    @Override
    public void restored(FleetState.Snapshot snapshot) {
        Set<String> previousBans = new HashSet<>(state.bans());
        state.restore(snapshot);
        count("restored");
        schedule.rebuild();
        if (orders != null) {
            orders.rebuild();
        }
        for (String node : state.bans()) {
            if (!previousBans.remove(node)) {
                host.banned(node, true);
            }
        }
        previousBans.forEach(node -> host.banned(node, false));
        discovery.restored();
        poll();
    }

    @Override
    public void halted(String reason) {
        if (!halted) {
            halted = true;
            count("halted");
            logger.accept("fleet: this scheduler takes part no longer and serves on by itself: " + reason);
            discovery.poll();
            pendingRequests.abandonAll();
        }
    }

    private void onEvent(FleetEvent event) {
        if (event instanceof FleetEvent.JobChanged jobEvent) {
            schedule.changed(jobEvent.job());
        } else if (event instanceof FleetEvent.OrderChanged orderEvent) {
            if (orders != null) {
                orders.changed(orderEvent.current(), orderEvent.previous());
            }
        } else if (event instanceof FleetEvent.BanChanged banEvent) {
            host.banned(banEvent.node(), banEvent.banned());
        } else if (event instanceof FleetEvent.DiscoveryReported discoveryEvent) {
            discovery.onReportApplied(discoveryEvent.report());
        } else if (event instanceof FleetEvent.OwnerChanged ownerEvent) {
            if (ownerEvent.duty().owner().equals(name())
                    || ownerEvent.previousOwner().equals(name())) {
                count("owner_changed");
                logger.accept("fleet: " + ownerEvent.duty().name() + " under fence "
                        + ownerEvent.duty().fence() + " is "
                        + (ownerEvent.duty().owner().isEmpty()
                                ? "nobody's"
                                : ownerEvent.duty().owner() + "'s, incarnation "
                                        + ownerEvent.duty().incarnation())
                        + (ownerEvent.previousOwner().isEmpty() ? "" : ", was " + ownerEvent.previousOwner() + "'s"));
            }
        } else if (event instanceof FleetEvent.EntryRefused refusal) {
            count("refused." + refusal.entry().getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
            if (refusal.reason().startsWith("fence ")) {
                logLine("refused " + refusal.entry().getClass().getSimpleName() + ": " + refusal.reason());
            }
        } else if (event instanceof FleetEvent.SessionChanged sessionEvent
                && sessionEvent.previous() != null
                && sessionEvent.current().state() == Sessions.State.LOST) {
            count("session_lost");
            logger.accept("fleet: " + sessionEvent.current().name() + ", incarnation "
                    + sessionEvent.current().incarnation() + ", is lost");
        }
    }

    private void poll() {
        if (halted || closed) {
            return;
        }
        Session session = state.sessions().find(name());
        if (incarnation() > 0
                && session != null
                && session.incarnation() >= incarnation()
                && !leaving
                && !(session.incarnation() == incarnation() && session.live())) {
            sessionEnded("the log marks it as " + session.state().name().toLowerCase(java.util.Locale.ROOT));
            if (session.state() == Sessions.State.REMOVED) {
                halted("it was removed from the fleet by command");
            }
        }
        schedule.poll();
        if (orders != null) {
            orders.poll();
        }
        discovery.poll();
    }

    // ---- Fleet ----

    @Override
    public plumpost.peers.Ledger ledger() {
        return orders;
    }

    /**
     * Proposes an entry on behalf of a caller, who gets the outcome, or after a time limit that it is not known: the entry
     * may then still be applied, so that the caller must not be told that it has no effect.
     */
    void request(Entry entry, double limitMs, Consumer<Reply> callback) {
        if (halted || closed || log == null) {
            callback.accept(new Reply(Result.NOT_PROPOSED, "this scheduler takes part in the fleet no longer"));
            return;
        }
        PendingRequests.Request request = pendingRequests.add(entry, limitMs, reply -> {
            if (reply.result() == Result.UNKNOWN) {
                count("wish_unknown");
            }
            callback.accept(reply);
        });
        log.propose(entry, request);
    }

    /** The answer to a caller for whom nothing is proposed, since no majority is known to hear this scheduler. */
    static Reply noMajorityReply() {
        return new Reply(
                Result.NOT_PROPOSED,
                "no majority of the fleet hears this scheduler; try again after " + RETRY_AFTER_MS + " ms");
    }

    /** Proposes an entry on behalf of an operator, who is answered soon and can repeat the request without harm. */
    void requestFromOperator(Entry entry, Consumer<Reply> callback) {
        request(entry, OPERATOR_REQUEST_LIMIT_MS, callback);
    }

    /** Whether a job with this id has no key, and its caller was told that the outcome is not known. */
    boolean isAbandoned(String jobId) {
        return pendingRequests.isAbandoned(jobId);
    }

    @Override
    public void ban(String node, boolean banned, Consumer<Reply> callback) {
        requestFromOperator(new Entry.Ban(node, banned), callback);
    }

    @Override
    public void plan(Job job, double limitMs, Consumer<Reply> callback) {
        if (!sessionActive()) {
            callback.accept(noMajorityReply());
            return;
        }
        request(
                new Entry.Plan(job.id(), job.function(), job.unique(), job.body(), job.atMs(), job.repeatable()),
                limitMs,
                callback);
    }

    @Override
    public void callOff(String id, Consumer<Reply> callback) {
        requestFromOperator(new Entry.CallOff(id), callback);
    }

    private static Job job(PlannedJobs.Job job) {
        return job == null
                ? null
                : new Job(job.id(), job.function(), job.unique(), job.body(), job.startMs(), job.repeatable());
    }

    @Override
    public Job planned(String id) {
        return job(state.plannedJobs().find(id));
    }

    @Override
    public List<String> plannedIds() {
        return state.plannedJobs().all().stream()
                .filter(job -> job.state() == PlannedJobs.State.WAITING)
                .map(PlannedJobs.Job::id)
                .toList();
    }

    @Override
    public Job planned(String function, String unique) {
        return job(state.plannedJobs().findByKey(function, unique));
    }

    @Override
    public boolean fired(String id) {
        PlannedJobs.Job job = state.plannedJobs().find(id);
        return job != null && job.state() != PlannedJobs.State.WAITING;
    }

    @Override
    public void onJobEnded(String id, boolean unstarted) {
        schedule.ended(id, unstarted);
    }

    @Override
    public boolean ready() {
        return started || halted;
    }

    @Override
    public void started() {
        started = true;
    }

    @Override
    public void onDiscoveryLine(String line, long seq, boolean whole) {
        discovery.onDiscoveryLine(line, seq, whole);
    }

    @Override
    public void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        leaveDeadlineMs = nowMs() + LEAVE_TIMEOUT_MS;
        if (incarnation() == 0 || halted || log == null) {
            leave();
        } else {
            // Others take over its duties from now on.
            log.propose(new Entry.Leave(name(), incarnation(), false), outcome -> {});
        }
    }

    /** Leaves once its work is finished or returned; after a time limit it leaves without the log's confirmation. */
    private void finishLeaving() {
        if (schedule.finished() && (orders == null || orders.finished()) && !leaving && incarnation() > 0) {
            leaving = true;
            leaveDeadlineMs = nowMs() + LEAVE_TIMEOUT_MS;
            log.propose(new Entry.Leave(name(), incarnation(), true), outcome -> leave());
        }
        if (incarnation() == 0 || leaving && nowMs() > leaveDeadlineMs) {
            leave();
        }
    }

    /** Leaves at once after the time limit: the scheduler has no open job, and nothing more will be reported. */
    @Override
    public void idle() {
        if (stopping && !leaving && nowMs() > leaveDeadlineMs) {
            leave();
        }
    }

    private void leave() {
        if (!closed) {
            closed = true;
            pendingRequests.abandonAll();
            if (log != null) {
                log.close();
            }
        }
    }

    @Override
    public boolean closed() {
        return closed;
    }
}
