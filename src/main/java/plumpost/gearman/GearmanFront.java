package plumpost.gearman;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.config.GearmanConfig;
import plumpost.config.NodeConfig;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.JobRequest;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeList;
import plumpost.front.Front;
import plumpost.front.Listeners;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.peers.Fleet;
import plumpost.time.TimerWheel;

/** The Gearman front: takes clients and workers in; its workers are the route nodes of a node list of its own. */
public final class GearmanFront implements NodeList, Front {
    private static final HexFormat HEX = HexFormat.of();
    private static final double SLOW_CHECK_INTERVAL_MS = 500;
    /** A packet follows its connection at once: while places run short, one without is a stranger's after this. */
    private static final double SILENT_GRACE_MS = 100;
    /** A scheduled job whose time has come while the ledger is full is tried again so often. */
    private static final double FULL_RETRY_MS = 100;
    /** Scheduled jobs are due by the wall clock, which may step: it is looked at that often while one waits. */
    private static final double MAX_TIMER_MS = 1_000;

    final DispatchCore core;
    final LoopContext context;
    final Dispatcher.Settings settings;
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
    GearmanConnection longAnswerConnection;
    private TimerWheel.Timer scheduleTimer;
    private long idCount;
    private long acceptedCount;
    private boolean stopping;
    /** Scheduled jobs are the fleet's where there is one; else null. */
    FleetJobs fleetJobs;
    /** Covered orders, or null where the fleet covers none. */
    FleetOrders fleetOrders;

    /** A front whose handles carry the scheduler's name, and whose job ids start anew with each seed. */
    public GearmanFront(NodeConfig node, String version, DispatchCore core, LoopContext context, Runnable shutdown) {
        this.config = node.gearman();
        this.handlePrefix = "H:" + node.name() + ':';
        this.idBase = node.seed() ^ Double.doubleToLongBits(context.unixTime().nowMs()) * 0x9E3779B97F4A7C15L;
        this.core = core;
        this.context = context;
        this.settings = node.settings();
        this.shutdown = shutdown;
        maxConnections = config.limits().connections() > 0 ? config.limits().connections() : node.sockets() / 8;
        functions = new FunctionTable(settings.classes(), config);
        workerHistory = new WorkerHistory(config.returnMs());
        schedule = new Schedule(config.limits().scheduled(), config.limits().scheduledBytes());
        adminCommands = new AdminCommands(this, version);
        readBudget = new PacketReader.Budget(config.limits().readingBytes());
        core.add(this);
        context.wheel().at(context.clock().nowMs() + SLOW_CHECK_INTERVAL_MS, this::closeSlowConnections);
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

    /** Takes a connection in. */
    public ConnectionHandler accept(Connection connection) {
        GearmanConnection session = new GearmanConnection(this, connection, ++acceptedCount);
        connections.add(session);
        return session;
    }

    /** Clients go on submitting on the connections they have, as new ones keep coming at the platform's, for a while. */
    @Override
    public void stop(double receivedAtMs, double newClientsMs) {
        context.wheel().at(receivedAtMs + newClientsMs, this::refuseNewJobs);
    }

    /** From here on new jobs are answered with an error; what clients wait for goes on, the rest ends with the process. */
    private void refuseNewJobs() {
        stopping = true;
        if (fleetJobs != null) {
            fleetJobs.recallAll();
        }
        long lostJobs = schedule.entries().size()
                + core.drop(openJob -> openJob.sheet().work().name() != null
                        && openJob.background()
                        && (fleetOrders == null
                                || !fleetOrders.isOpen(openJob.sheet().id())));
        context.counters().add("gearman.lost_at_stop", lostJobs);
        if (lostJobs > 0) {
            context.log()
                    .accept("stopping: " + lostJobs + " background and scheduled jobs that no worker has are lost");
        }
    }

    @Override
    public boolean quiet() {
        return connections.stream().allMatch(c -> c.connection.flushed());
    }

    /** Its workers tell of themselves: there is nothing to ask for. */
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

    String handleOf(String id) {
        return fleetOrders != null && fleetOrders.isOpen(id) ? id : handlePrefix + id;
    }

    /** The job id in a handle; handles of another scheduler name no job here. */
    String jobId(String handle) {
        return handle.startsWith(handlePrefix) ? handle.substring(handlePrefix.length()) : "";
    }

    void reportNode(ListedNode node) {
        core.listed(this, ListMode.INCREMENTAL, List.of(node));
    }

    void removeConnection(GearmanConnection connection) {
        connections.remove(connection);
    }

    // ---- the fleet ----

    /** From now on scheduled jobs are planned with a fleet. */
    public void in(Fleet joinedFleet) {
        fleetJobs = new FleetJobs(this, joinedFleet);
        fleetOrders = joinedFleet.ledger() == null ? null : new FleetOrders(this, joinedFleet.ledger());
    }

    /** The functions that have workers here. */
    public List<String> served() {
        return functions.functions().stream()
                .filter(function -> function.workers > 0)
                .map(function -> function.name)
                .toList();
    }

    /** Runs a planned job for the fleet; false where it cannot be taken now. */
    public boolean runPlanned(Fleet.Job job) {
        return fleetJobs.run(job);
    }

    /** A planned job is not this scheduler's any more: called off where no worker has it. */
    public void callBack(String id) {
        fleetJobs.recall(id);
    }

    // ---- scheduled jobs ----

    void scheduleJob(JobRequest request, double atMs) {
        schedule.add(request, atMs);
        startScheduleTimer(atMs);
    }

    /** Looks at the schedule at a Unix time, or earlier: the wall clock may step meanwhile. */
    private void startScheduleTimer(double unixMs) {
        if (scheduleTimer != null) {
            scheduleTimer.cancel();
        }
        double firstUnixMs = schedule.entries().isEmpty()
                ? unixMs
                : Math.min(unixMs, schedule.entries().iterator().next().atMs());
        double waitMs = Math.max(0, Math.min(context.unixTime().untilMs(firstUnixMs), MAX_TIMER_MS));
        scheduleTimer = context.wheel().at(context.clock().nowMs() + waitMs, this::submitDueJobs);
    }

    private void submitDueJobs() {
        scheduleTimer = null;
        double nowUnixMs = context.unixTime().nowMs();
        for (Schedule.Entry entry = schedule.firstDue(nowUnixMs);
                entry != null && !stopping;
                entry = schedule.firstDue(nowUnixMs)) {
            boolean joinsOpenJob = entry.request().unique() != null
                    && core.entryOf(entry.request().unique()) != null;
            if (!joinsOpenJob && !core.hasRoom(entry.request().body().remaining())) {
                context.counters().count("gearman.schedule_waits");
                startScheduleTimer(nowUnixMs + FULL_RETRY_MS);
                return;
            }
            schedule.remove(entry);
            core.take(
                    entry.request(),
                    new Submission(null, handleOf(entry.request().id())));
        }
        if (!schedule.entries().isEmpty()) {
            startScheduleTimer(schedule.entries().iterator().next().atMs());
        }
    }

    // ---- connections ----

    /** Ends the connection that has said nothing for longest; false while each has spoken or is new. */
    public boolean closeSilentConnection() {
        double nowMs = context.clock().nowMs();
        for (GearmanConnection connection : connections) { // in the order in which they came
            if (connection.silentMs(nowMs) > SILENT_GRACE_MS) {
                context.counters().count("gearman.shed");
                connections.remove(connection);
                connection.connection.cut();
                return true;
            }
        }
        return false;
    }

    private void closeSlowConnections() {
        double nowMs = context.clock().nowMs();
        for (GearmanConnection connection : new ArrayList<>(connections)) {
            if (connection.isSlow(nowMs)) {
                context.counters().count("gearman.slow");
                connection.error("timeout", "too slow");
            }
        }
        context.wheel().at(nowMs + SLOW_CHECK_INTERVAL_MS, this::closeSlowConnections);
    }
}
