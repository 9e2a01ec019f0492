package plumpost.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import plumpost.dispatch.Bans;
import plumpost.front.Front;
import plumpost.front.Listeners;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;

/**
 * The listener for operators' calls: one HTTP/1.1 call per connection, answered in the event loop's turn in which it is
 * complete. A connection is closed without an answer if its call is not complete in time, or if it is the oldest incomplete
 * one when the maximum number of connections is reached, so that slow callers do not affect others.
 */
public final class ControlServer implements Front {
    /** Maximum size of a call's body; calls need none, but a short one is accepted. */
    static final int MAX_BODY_BYTES = 1024;
    /** Time from connecting to a complete call; some callers pause for 4 s in the middle of a call. */
    static final double CALL_TIMEOUT_MS = 10_000;

    static final double SWEEP_INTERVAL_MS = 250;
    private static final long MAX_UNREAD_BYTES = 1 << 16;
    private static final String WORKERS_PATH = "/control/workers/";

    private final InetSocketAddress address;
    private final int maxConnections;
    private final LoopContext context;
    private final Operations operations;
    /** Calls that are not answered yet, oldest first. */
    private final Set<CallHandler> openCalls = new LinkedHashSet<>();

    /** The operations that operators can call. */
    public interface Operations {
        /** Whether this process can serve requests. */
        boolean ready();

        /** Returns the metrics, one statsd line each. */
        String statsdLines();

        /** Bans a worker: it gets no new jobs. */
        Bans.BanResult takeOffline(String worker);

        /** Lifts a worker's ban. */
        Bans.BanResult bringOnline(String worker);

        /**
         * Bans a worker or lifts its ban, and reports the result immediately or within a second. The result is null, with a
         * reason, if the change does not hold in every process that it should reach.
         */
        default void changeBan(String worker, boolean offline, BiConsumer<Bans.BanResult, String> onResult) {
            onResult.accept(offline ? takeOffline(worker) : bringOnline(worker), "");
        }
    }

    /** Creates a listener with a maximum number of simultaneous connections. */
    public ControlServer(InetSocketAddress address, int maxConnections, LoopContext context, Operations operations) {
        this.address = address;
        this.maxConnections = maxConnections;
        this.context = context;
        this.operations = operations;
        context.wheel().schedule(context.clock().nowMs() + SWEEP_INTERVAL_MS, this::sweep);
    }

    @Override
    public String open(Listeners listeners) throws IOException {
        return "control "
                + listeners.listen(address, this::accept, maxConnections, false, MAX_UNREAD_BYTES, this::shed);
    }

    /** Handles a new connection. */
    public ConnectionHandler accept(Connection connection) {
        CallHandler call = new CallHandler(connection, context.clock().nowMs());
        openCalls.add(call);
        return call;
    }

    /** Closes the connection of the oldest unfinished call to make room for a new one; returns false if there is none. */
    public boolean shed() {
        for (CallHandler call : openCalls) {
            context.counters().count("control.shed");
            call.cut();
            return true;
        }
        return false;
    }

    @Override
    public void stop(double signalledAtMs, double newConnectionGraceMs) {
        // Calls are still answered while the process drains; /control/ready answers 503 from now on.
    }

    /** Always true: no call here needs to delay the end of the process. */
    @Override
    public boolean isIdle() {
        return true;
    }

    private void sweep() {
        double nowMs = context.clock().nowMs();
        for (CallHandler call : List.copyOf(openCalls)) {
            if (nowMs - call.openedAtMs <= CALL_TIMEOUT_MS) {
                break; // the calls are in order of arrival
            }
            context.counters().count("control.slow");
            call.cut();
        }
        context.wheel().schedule(nowMs + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Reads one call from a connection and answers it. */
    private final class CallHandler implements ConnectionHandler {
        private final Connection connection;
        private final double openedAtMs;
        private final RequestReader reader = new RequestReader(MAX_BODY_BYTES);
        private boolean finished;

        CallHandler(Connection connection, double openedAtMs) {
            this.connection = connection;
            this.openedAtMs = openedAtMs;
        }

        @Override
        public void received(ByteBuffer input) {
            if (finished) {
                return; // one call per connection: anything after it is ignored
            }
            try {
                if (reader.feed(input)) {
                    handleCall();
                }
            } catch (BadMessageException e) {
                respond(e.status(), e.getMessage() + "\n", "");
            }
        }

        private void handleCall() {
            context.counters().count("control.calls");
            String method = reader.method();
            String path = reader.path();
            if (path.equals("/control/ready")) {
                if (requireMethod("GET", method)) {
                    boolean ready = operations.ready();
                    respond(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "");
                }
            } else if (path.equals("/control/counters")) {
                if (requireMethod("GET", method)) {
                    respond(200, operations.statsdLines(), "Content-Type: text/plain\r\n");
                }
            } else if (path.startsWith(WORKERS_PATH)) {
                handleWorkerCall(method, path.substring(WORKERS_PATH.length()));
            } else {
                respond(404, "no such call\n", "");
            }
        }

        private void handleWorkerCall(String method, String target) {
            int slash = target.lastIndexOf('/');
            String id = slash < 0 ? "" : target.substring(0, slash);
            String action = slash < 0 ? "" : target.substring(slash + 1);
            boolean offline = action.equals("offline");
            if (!offline && !action.equals("online") || !Bans.isId(id) || id.indexOf('/') >= 0) {
                respond(404, "no such call\n", "");
            } else if (requireMethod("POST", method)) {
                operations.changeBan(id, offline, (result, reason) -> {
                    context.counters()
                            .count("control." + action + "."
                                    + (result == null
                                            ? "not_agreed"
                                            : result.name().toLowerCase(java.util.Locale.ROOT)));
                    if (result == null) {
                        respond(503, reason + "\n", "");
                    } else if (result == Bans.BanResult.UNKNOWN) {
                        respond(404, "no worker " + id + " is known here\n", "");
                    } else {
                        respond(200, "worker " + id + (offline ? " is out\n" : " is in\n"), "");
                    }
                });
            }
        }

        private boolean requireMethod(String allowed, String method) {
            if (allowed.equals(method)) {
                return true;
            }
            respond(405, "use " + allowed + "\n", "Allow: " + allowed + "\r\n");
            return false;
        }

        private void respond(int status, String body, String fields) {
            if (finished) {
                return;
            }
            finished = true;
            openCalls.remove(this);
            context.counters().count("control.answers." + status);
            ByteBuffer content = AnswerEncoder.ascii(body);
            connection.write(AnswerEncoder.head(status, content.remaining(), true, fields), content);
            connection.finish();
        }

        void cut() {
            finished = true;
            openCalls.remove(this);
            connection.closeNow();
        }

        @Override
        public void ended() {
            finished = true;
            openCalls.remove(this);
        }
    }
}
