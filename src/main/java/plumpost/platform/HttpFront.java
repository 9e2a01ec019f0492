package plumpost.platform;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.DispatchCore;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;

/**
 * The thin front for the platform's protocol: clients hand jobs in by HTTP and wait for the answer. It keeps their connections,
 * ends those that are slow or idle, and leads all of them through the shutdown.
 */
final class HttpFront {
    /** A whole request is due so long after its first byte, and a first byte so long after connecting. */
    private static final double SLOW_MS = 2_000;
    /** An answer that its client does not read for so long is given up. */
    private static final double UNREAD_ANSWER_MS = 10_000;

    private static final double IDLE_MS = 60_000;
    private static final double SWEEP_MS = 250;

    private final DispatchCore core;
    private final LoopContext context;
    private final UnreadTime unreadTime;
    private final NodeListWatch list;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private boolean ready;
    /** Whether anybody was told that this process is ready. */
    private boolean saidReady;

    private boolean stopping;
    private boolean closingIdle;
    private boolean lastCallOver;

    /** How long bytes that are read now may have lain unread. */
    interface UnreadTime {
        /** That time in milliseconds. */
        double ms();
    }

    HttpFront(DispatchCore core, LoopContext context, UnreadTime unreadTime, NodeListWatch list) {
        this.core = core;
        this.context = context;
        this.unreadTime = unreadTime;
        this.list = list;
        context.wheel().at(context.clock().nowMs() + SWEEP_MS, this::sweep);
    }

    /** Takes a connection in. */
    ConnectionHandler accept(Connection connection) {
        ClientConnection client = new ClientConnection(this, core, context, connection);
        connections.add(client);
        return client;
    }

    /** From here on {@code /health/ready} says 200. */
    void ready() {
        ready = true;
    }

    // ---- the shutdown ----

    /**
     * Says no longer that it is ready; goes on serving whoever is connected for a while.
     *
     * @param heardAtMs when the process heard of SIGTERM, which it may do only now
     */
    void stop(double heardAtMs) {
        stopping = true;
        double longestDeadlineMs = core.settings().classes().stream()
                .mapToDouble(JobClass::deadlineMs)
                .max()
                .orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(heardAtMs, longestDeadlineMs);
        context.wheel().at(schedule.closeIdleAtMs(), this::closeIdle);
        context.wheel().at(schedule.lastCallAtMs(), this::lastCall);
    }

    /** Closes idle connections, and ends the others with their next answer. */
    private void closeIdle() {
        closingIdle = true;
        for (ClientConnection client : List.copyOf(connections)) {
            client.look(); // a request that has come already is taken, not cut off
            if (connections.contains(client) && client.idle()) {
                client.finish();
            }
        }
    }

    /**
     * The end may come any moment: all that is open gets its answer now, whenever it was taken. When a request came is known
     * less exactly than SIGKILL allows: the signal may have been heard late, and the request read late.
     */
    private void lastCall() {
        lastCallOver = true;
        context.log().accept("last call: " + core.open() + " jobs open, " + connections.size() + " connections");
        for (ClientConnection client : List.copyOf(connections)) {
            client.look(); // what has come already is read and refused, rather than left for SIGKILL to find
            if (connections.contains(client)) {
                client.endForLastCall();
            }
        }
    }

    /** True when no client waits for anything. */
    boolean quiet() {
        return closingIdle && connections.stream().allMatch(client -> client.idle() && client.answersWritten());
    }

    // ---- connections that are slow, idle or in the way ----

    /** Ends what is slow, says nothing from the start, does not read its answer or has idled too long. */
    private void sweep() {
        context.wheel().at(context.clock().nowMs() + SWEEP_MS, this::sweep);
        for (ClientConnection client : List.copyOf(connections)) {
            if (client.quietMs() > (client.owesBytes() ? SLOW_MS : IDLE_MS)) {
                client.look(); // bytes that have come already are read first
            }
            if (connections.contains(client) && !client.working()) {
                sweep(client);
            }
        }
    }

    private void sweep(ClientConnection client) {
        double quietMs = client.quietMs();
        if (!client.answersWritten() && quietMs > UNREAD_ANSWER_MS) {
            context.counters().count("front.unread");
            client.drop();
        } else if (client.midway() && quietMs > SLOW_MS) {
            context.counters().count("front.slow");
            client.refuseMalformed(408, "");
        } else if (client.silent() && quietMs > SLOW_MS) {
            context.counters().count("front.silent");
            client.finish();
        } else if (client.idle() && quietMs > IDLE_MS) {
            client.finish();
        }
    }

    /** Ends the connection that matters least, so that a newcomer finds a place; false while each may matter. */
    boolean shed() {
        for (ClientConnection client = least(); client != null; client = least()) {
            client.look();
            if (!connections.contains(client)) {
                return true;
            }
            if (client == least()) {
                context.counters().count("front.shed." + client.rank());
                client.finish();
                return true;
            }
        }
        return false;
    }

    private ClientConnection least() {
        ClientConnection least = null;
        for (ClientConnection client : connections) {
            int rank = client.rank();
            if (rank != ClientConnection.KEPT && (least == null || before(client, least))) {
                least = client;
            }
        }
        return least;
    }

    private static boolean before(ClientConnection one, ClientConnection other) {
        return one.rank() < other.rank() || one.rank() == other.rank() && one.quietMs() > other.quietMs();
    }

    // ---- what its connections ask ----

    /** Whether {@code /health/ready} is to say yes; whoever hears that knows of this process. */
    boolean saysReady() {
        boolean yes = ready && !stopping && list.primed();
        saidReady |= yes;
        return yes;
    }

    /** A client hands a job in. */
    void clientCame() {
        if (!saidReady) {
            list.clientsStillCome();
        }
    }

    /** Whether answers end their connections. */
    boolean closesConnections() {
        return closingIdle;
    }

    /** Whether nothing more is taken: SIGKILL may come before its answer. */
    boolean takesNothing() {
        return lastCallOver;
    }

    double unreadMs() {
        return unreadTime.ms();
    }

    void ended(ClientConnection client) {
        connections.remove(client);
    }
}
