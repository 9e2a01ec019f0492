package plumpost.gearman;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import plumpost.config.GearmanConfig;
import plumpost.config.NodeConfig;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeList;
import plumpost.front.Front;
import plumpost.front.Listeners;
import plumpost.front.ShutdownSchedule;
import plumpost.front.ShutdownTimers;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.peers.Fleet;
import plumpost.time.TimerWheel;

/**
 * The Gearman front. Accepts connections of clients, workers and admins, and reports its workers to the core as the
 * route nodes of its own node list.
 */
public final class GearmanFront implements NodeList, Front {
    private static final HexFormat HEX = HexFormat.of();
    private static final double SLOW_CHECK_INTERVAL_MS = 500;
    /**
     * A connection that has sent nothing for this long may be closed when connections run out: a Gearman peer sends
     * its first packet as soon as it has connected.
     */
    private static final double SILENT_GRACE_MS = 100;
    /** Interval at which a scheduled job that is due is submitted again while the limits on open jobs are reached. */
    private static final double FULL_RETRY_MS = 100;
    /** Scheduled jobs are due by the wall clock, which may step, so it is read at least this often while one waits. */
    private static final double MAX_TIMER_MS = 1_000;
    /** A client is answered this long before it gives up, although the fleet has not agreed on its job yet. */
    private static final double FLEET_ANSWER_MARGIN_MS = 250;

    final DispatchCore core;
    final LoopContext context;
    final GearmanConfig config;
    final FunctionTable functions;
    final WorkerHistory workerHistory;
    final Schedule schedule;
    final AdminCommands adminCommands;
    final PacketReader.Budget readBudget;
    final Runnable shutdown;
    private final int maxConnections;
    private final String handlePrefix;
    private final long idBase;
    private final Set<GearmanConnection> connections = new LinkedHashSet<>();
    /** The connection that is reading an admin answer of more than one chunk, or null; one at a time bounds memory. */
    GearmanConnection longAnswerConnection;

    private TimerWheel.Timer scheduleTimer;
    private long idCount;
    private long acceptedCount;
    private boolean stopping;
    /** The steps of the shutdown that answer clients of covered orders, or null before it. */
    private ShutdownTimers shutdownTimers;
    /** Scheduled jobs that are planned with the fleet, or null without a fleet. */
    FleetJobs fleetJobs;
    /** Covered orders, or null if there is no fleet or it covers none. */
    FleetOrders fleetOrders;

    /**
     * Creates the front and adds its node list to the core. Handles carry the scheduler's name. Job ids count up from
     * a value made from the seed and the start time, so that another run has other ids.
     *
     * @param shutdown run for the admin command {@code shutdown}
     */
    public GearmanFront(NodeConfig node, String version, DispatchCore core, LoopContext context, Runnable shutdown) {
        this.config = node.gearman();
        this.handlePrefix = "H:" + node.name() + ':';
        this.idBase = node.seed() ^ Double.doubleToLongBits(context.unixTime().nowMs()) * 0x9E3779B97F4A7C15L;
        this.core = core;
        this.context = context;
        this.shutdown = shutdown;
        maxConnections = config.limits().connections() > 0 ? config.limits().connections() : node.sockets() / 8;
        functions = new FunctionTable(
                Math.max(config.limits().functions(), node.settings().classes().size()));
        applyFunctions(node);
        workerHistory = new WorkerHistory(config.returnMs());
        schedule = new Schedule(config.limits().scheduled(), config.limits().scheduledBytes());
        adminCommands = new AdminCommands(this, version);
        readBudget = new PacketReader.Budget(config.limits().readingBytes());
        core.add(this);
        context.wheel().schedule(context.clock().nowMs() + SLOW_CHECK_INTERVAL_MS, this::closeSlowConnections);
    }

    @Override
    public String open(Listeners listeners) throws IOException {
        long maxUnreadBytes = Math.max(2 << 20, 4L * config.limits().packetBytes());
        return "gearman "
                + listeners.listen(
                        config.listen(),
                        this::accept,
                        maxConnections,
                        true,
                        maxUnreadBytes,
                        this::closeSilentConnection);
    }

    /** Registers a new connection and returns the handler that reads its packets. */
    public ConnectionHandler accept(Connection connection) {
        GearmanConnection session = new GearmanConnection(this, connection, ++acceptedCount);
        connections.add(session);
        return session;
    }

    /** Goes on accepting jobs on open connections for as long as the HTTP front still accepts new clients, then stops. */
    @Override
    public void stop(double receivedAtMs, double newClientsMs) {
        context.wheel().schedule(receivedAtMs + newClientsMs, this::refuseNewJobs);
        if (fleetOrders != null) {
            shutdownTimers = new ShutdownTimers(receivedAtMs, context);
            shutdownTimers.add(ShutdownSchedule::lastCallAtMs, fleetOrders::endWaiting);
            shutdownTimers.start(core.longestDeadlineMs());
        }
    }

    /** Applies the classes and rules of functions of a configuration, whose settings the core has in force. */
    private void applyFunctions(NodeConfig node) {
        Set<String> offered = node.settings().classes().stream()
                .map(Dispatcher.JobClass::name)
                .collect(Collectors.toSet());
        boolean hasSection =
                node.gearman() != null; // a file at SIGHUP may leave the address empty, which needs a restart
        functions.apply(core.classNames(), offered, hasSection ? node.gearman().functions() : functions.rules());
    }

    /** Applies the classes of new settings, the rules of functions, and new deadlines to a shutdown that has begun. */
    @Override
    public void reload(NodeConfig newConfig) {
        applyFunctions(newConfig);
        if (shutdownTimers != null) {
            shutdownTimers.start(core.longestDeadlineMs());
        }
    }

    /**
     * Answers new jobs with an error from now on. Jobs that a client waits for go on. Planned jobs that no worker has
     * go back to the fleet; other background and scheduled jobs that no worker has are lost, and are counted.
     */
    private void refuseNewJobs() {
        stopping = true;
        if (fleetJobs != null) {
            fleetJobs.recallAll();
        }
        long lostJobs = schedule.entries().size()
                + core.cancelMatching(openJob -> openJob.spec().work().name() != null
                        && openJob.background()
                        && (fleetOrders == null
                                || !fleetOrders.isOpen(openJob.spec().id())));
        context.counters().add("gearman.lost_at_stop", lostJobs);
        if (lostJobs > 0) {
            context.log()
                    .accept("stopping: " + lostJobs + " background and scheduled jobs that no worker has are lost");
        }
    }

    @Override
    public boolean isIdle() {
        return connections.stream().allMatch(c -> c.connection.flushed())
                && (fleetOrders == null || !fleetOrders.hasWaitingClients());
    }

    /** Does nothing: workers announce themselves on their connections. */
    @Override
    public void watch() {}

    boolean stopping() {
        return stopping;
    }

    Collection<GearmanConnection> connections() {
        return connections;
    }

    String newId() {
        return HEX.toHexDigits(idBase + idCount++);
    }

    /** The handle that clients and workers see for a job id; a covered order's id is its handle. */
    String handleOf(String id) {
        return fleetOrders != null && fleetOrders.isOpen(id) ? id : handlePrefix + id;
    }

    /** The job id in a handle; empty for the handle of another scheduler. */
    String jobId(String handle) {
        return handle.startsWith(handlePrefix) ? handle.substring(handlePrefix.length()) : "";
    }

    void reportNode(ListedNode node) {
        core.applyList(this, ListMode.INCREMENTAL, List.of(node));
    }

    void removeConnection(GearmanConnection connection) {
        connections.remove(connection);
    }

    /** Returns the class of a job that is being submitted, by the settings in force. */
    Dispatcher.JobClass classOf(JobSpec request) {
        return core.settings().classes().get(request.classIndex());
    }

    /**
     * Returns whether a job of the fleet may run again whenever its worker is lost. A guarded one may only within a window from its first
     * run, which the fleet's log does not record, so that it is not run again.
     */
    boolean mayRunTwice(JobSpec request) {
        return classOf(request).effect() == Dispatcher.Effect.FREE;
    }

    // ---- the fleet ----

    /** Passes scheduled jobs to a fleet from now on, and hands its covered orders to its ledger if it has one. */
    public void joinFleet(Fleet joinedFleet) {
        fleetJobs = new FleetJobs(this, joinedFleet);
        fleetOrders = joinedFleet.ledger() == null ? null : new FleetOrders(this, joinedFleet.ledger());
    }

    /** Returns for how long a client of the job's class may wait until the fleet has agreed on its job. */
    double fleetAnswerLimitMs(JobSpec request) {
        double deadlineMs = classOf(request).deadlineMs();
        return Math.max(deadlineMs / 2, deadlineMs - FLEET_ANSWER_MARGIN_MS);
    }

    /** Returns the names of the functions that have workers here. */
    public List<String> servedFunctions() {
        return functions.functions().stream()
                .filter(function -> function.workers > 0)
                .map(function -> function.name)
                .toList();
    }

    /** Runs a planned job for the fleet. Returns false if it cannot be accepted now. */
    public boolean runPlanned(Fleet.Job job) {
        return fleetJobs.run(job);
    }

    /** Cancels a planned job that is no longer this scheduler's, unless a worker has it. */
    public void recallPlanned(String id) {
        fleetJobs.recall(id);
    }

    // ---- scheduled jobs ----

    void scheduleJob(JobSpec request, double atMs) {
        schedule.add(request, atMs);
        startScheduleTimer(atMs);
    }

    /** Submits a job that was taken and refused once more, after the time that the core asks for. */
    void resubmitLater(JobSpec request, double afterMs) {
        context.counters().count("gearman.resubmitted");
        scheduleJob(request, context.unixTime().nowMs() + Math.max(afterMs, FULL_RETRY_MS));
    }

    /** Starts the timer for the given Unix time or the first scheduled job, whichever is earlier. */
    private void startScheduleTimer(double unixMs) {
        if (scheduleTimer != null) {
            scheduleTimer.cancel();
        }
        double firstUnixMs = schedule.entries().isEmpty()
                ? unixMs
                : Math.min(unixMs, schedule.entries().iterator().next().atMs());
        double waitMs = Math.max(0, Math.min(context.unixTime().untilMs(firstUnixMs), MAX_TIMER_MS));
        scheduleTimer = context.wheel().schedule(context.clock().nowMs() + waitMs, this::submitDueJobs);
    }

    /** Submits the scheduled jobs that are due, while the core accepts them. */
    private void submitDueJobs() {
        scheduleTimer = null;
        double nowUnixMs = context.unixTime().nowMs();
        for (Schedule.Entry entry = schedule.firstDue(nowUnixMs);
                entry != null && !stopping;
                entry = schedule.firstDue(nowUnixMs)) {
            if (!core.joinsKnownJob(entry.request()) && core.findRefusal(entry.request()) != null) {
                context.counters().count("gearman.schedule_waits");
                startScheduleTimer(nowUnixMs + FULL_RETRY_MS);
                return;
            }
            schedule.remove(entry);
            core.submit(entry.request(), new BackgroundSubmission(this, entry.request()).taken());
        }
        if (!schedule.entries().isEmpty()) {
            startScheduleTimer(schedule.entries().iterator().next().atMs());
        }
    }

    // ---- connections ----

    /**
     * Closes the oldest connection that has sent nothing, to make room for a new one. Returns false if every
     * connection has sent something or is too new.
     */
    public boolean closeSilentConnection() {
        double nowMs = context.clock().nowMs();
        for (GearmanConnection candidate : connections) { // in the order in which they were accepted
            if (candidate.silentMs(nowMs) > SILENT_GRACE_MS) {
                context.counters().count("gearman.shed");
                connections.remove(candidate);
                candidate.connection.closeNow();
                return true;
            }
        }
        return false;
    }

    /** Closes the connections on which a packet has been unfinished for too long, and runs again after an interval. */
    private void closeSlowConnections() {
        double nowMs = context.clock().nowMs();
        for (GearmanConnection connection : new ArrayList<>(connections)) {
            if (connection.isSlow(nowMs)) {
                context.counters().count("gearman.slow");
                connection.error("timeout", "too slow");
            }
        }
        context.wheel().schedule(nowMs + SLOW_CHECK_INTERVAL_MS, this::closeSlowConnections);
    }
}
