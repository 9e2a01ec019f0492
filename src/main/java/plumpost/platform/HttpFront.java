package plumpost.platform;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.dispatch.DispatchCore;
import plumpost.front.ShutdownSchedule;
import plumpost.front.ShutdownTimers;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;

/**
 * The HTTP front for the platform's protocol, on which clients submit jobs and wait for the answers. It keeps track of their
 * connections, closes slow and idle ones, and shuts all of them down in steps.
 */
final class HttpFront {
    /** The time for a complete request after its first byte, and for the first byte after the connect. */
    private static final double MAX_REQUEST_MS = 2_000;
    /** A connection whose client has not read its answer for this long is closed. */
    private static final double MAX_UNREAD_ANSWER_MS = 10_000;

    private static final double MAX_IDLE_MS = 60_000;
    private static final double SWEEP_INTERVAL_MS = 250;

    private final DispatchCore core;
    private final LoopContext context;
    private final UnreadTime unreadTime;
    private final NodeListWatch nodeListWatch;
    private final ClientMemory memory;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private boolean ready;
    /** Whether any health check has been answered with ready. */
    private boolean reportedReady;

    private boolean stopping;
    /** The steps of the shutdown, or null before it. */
    private ShutdownTimers shutdownTimers;

    private boolean closingIdle;
    private boolean lastCallDone;

    /** Supplies how long bytes that are read now may have waited unread. */
    interface UnreadTime {
        /** Returns that time in milliseconds. */
        double milliseconds();
    }

    /** Creates a front whose connections hold up to {@code clientBytes} together, besides a small part that each may hold. */
    HttpFront(
            DispatchCore core,
            LoopContext context,
            UnreadTime unreadTime,
            NodeListWatch nodeListWatch,
            long clientBytes) {
        this.core = core;
        this.context = context;
        this.unreadTime = unreadTime;
        this.nodeListWatch = nodeListWatch;
        this.memory = new ClientMemory(clientBytes, context);
        context.wheel().schedule(context.clock().nowMs() + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Creates the handler of a new connection. */
    ConnectionHandler accept(Connection connection) {
        ClientConnection client = new ClientConnection(this, core, context, connection);
        connections.add(client);
        return client;
    }

    /** Lets {@code /health/ready} answer 200 from now on. */
    void ready() {
        ready = true;
    }

    // ---- shutdown ----

    /**
     * Starts the shutdown: reports not ready at once, and keeps serving until the steps of the {@link ShutdownSchedule}.
     *
     * @param signalHandledAtMs when the process handled SIGTERM, which may be before this call
     */
    void stop(double signalHandledAtMs) {
        stopping = true;
        shutdownTimers = new ShutdownTimers(signalHandledAtMs, context);
        shutdownTimers.add(ShutdownSchedule::closeIdleAtMs, this::closeIdle);
        shutdownTimers.add(ShutdownSchedule::lastCallAtMs, this::lastCall);
        shutdownTimers.start(core.longestDeadlineMs());
    }

    /** Called when new settings are in force: during a shutdown, shorter deadlines bring its steps forward. */
    void settingsChanged() {
        if (stopping) {
            shutdownTimers.start(core.longestDeadlineMs());
        }
    }

    /** Closes idle connections; the others are closed after their next answer. */
    private void closeIdle() {
        closingIdle = true;
        for (ClientConnection client : List.copyOf(connections)) {
            client.pollConnection(); // a request that has already arrived is served
            if (connections.contains(client) && client.idle()) {
                client.finish("shutdown");
            }
        }
    }

    /**
     * Answers all open jobs, because SIGKILL may follow at any moment. The age of a job is not considered: the signal may have
     * been handled late and the request read late, so its arrival time is not known exactly enough.
     */
    private void lastCall() {
        lastCallDone = true;
        context.log()
                .accept("last call: " + core.openJobCount() + " jobs open, " + connections.size() + " connections");
        for (ClientConnection client : List.copyOf(connections)) {
            client.pollConnection(); // requests that have already arrived are read and refused, not lost by SIGKILL
            if (connections.contains(client)) {
                client.endForShutdown();
            }
        }
        core.endJobsWithoutClients();
    }

    /** Returns whether idle connections are being closed and no client waits for an answer. */
    boolean quiet() {
        return closingIdle && connections.stream().allMatch(client -> client.idle() && client.answersWritten());
    }

    // ---- slow, idle and shed connections ----

    /** Closes connections that are slow, have never sent anything, do not read their answer or have idled for too long. */
    private void sweep() {
        context.wheel().schedule(context.clock().nowMs() + SWEEP_INTERVAL_MS, this::sweep);
        for (ClientConnection client : List.copyOf(connections)) {
            if (client.stateAgeMs() > (client.awaitsRequestBytes() ? MAX_REQUEST_MS : MAX_IDLE_MS)) {
                client.pollConnection(); // reads what has already arrived
            }
            if (connections.contains(client) && !client.awaitsAnswer()) {
                sweep(client);
            }
        }
    }

    private void sweep(ClientConnection client) {
        double stateAgeMs = client.stateAgeMs();
        if (!client.answersWritten() && stateAgeMs > MAX_UNREAD_ANSWER_MS) {
            context.counters().count("front.unread");
            client.abort("answer_unread");
        } else if (client.readingRequest() && stateAgeMs > MAX_REQUEST_MS && client.dropsRequest()) {
            client.reject(503, RejectReason.NO_MEMORY, "the requests being received use up the memory for them");
        } else if (client.readingRequest() && stateAgeMs > MAX_REQUEST_MS) {
            context.counters().count("front.slow");
            client.reject(408, RejectReason.INCOMPLETE, "");
        } else if (client.neverUsed() && stateAgeMs > MAX_REQUEST_MS) {
            context.counters().count("front.silent");
            client.finish("silent");
        } else if (client.idle() && stateAgeMs > MAX_IDLE_MS) {
            client.finish("idle");
        }
    }

    /** Closes the least important connection to make room for a new one; returns false if none may be closed. */
    boolean shed() {
        for (ClientConnection client = leastImportant(); client != null; client = leastImportant()) {
            client.pollConnection();
            if (!connections.contains(client)) {
                return true;
            }
            if (client == leastImportant()) {
                context.counters().count("front.shed." + client.shedRank());
                client.finish("shed");
                return true;
            }
        }
        return false;
    }

    private ClientConnection leastImportant() {
        ClientConnection least = null;
        for (ClientConnection client : connections) {
            int rank = client.shedRank();
            if (rank != ClientConnection.NEVER_SHED && (least == null || shedBefore(client, least))) {
                least = client;
            }
        }
        return least;
    }

    private static boolean shedBefore(ClientConnection one, ClientConnection other) {
        return one.shedRank() < other.shedRank()
                || one.shedRank() == other.shedRank() && one.stateAgeMs() > other.stateAgeMs();
    }

    // ---- for its connections ----

    /** Returns whether {@code /health/ready} is to answer 200, and records that it did. */
    boolean reportsReady() {
        boolean isReady = ready && !stopping && nodeListWatch.mayServe();
        reportedReady |= isReady;
        return isReady;
    }

    /** Called for each submitted job; before the first ready report, lets the saved node list be used. */
    void jobSubmitted() {
        if (!reportedReady) {
            nodeListWatch.jobSubmittedBeforeReady();
        }
    }

    /** Returns whether each answer closes its connection. */
    boolean closesAfterAnswers() {
        return closingIdle;
    }

    /** Returns whether no more jobs are accepted, because SIGKILL may come before their answer. */
    boolean refusesJobs() {
        return lastCallDone;
    }

    double unreadMs() {
        return unreadTime.milliseconds();
    }

    ClientMemory memory() {
        return memory;
    }

    void remove(ClientConnection client) {
        memory.stopWaiting(client);
        connections.remove(client);
    }
}
