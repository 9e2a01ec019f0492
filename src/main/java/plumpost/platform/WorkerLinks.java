package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Effect;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.Probe;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/** The links to route nodes over HTTP, each with a pool of connections. */
final class WorkerLinks {
    private static final int MAX_ANSWER_BYTES = 256 * 1024;
    /** The connect timeout if the settings contain none. */
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    /** The protocol allows each time limit on sockets to be exceeded by this much. */
    private static final double TIMEOUT_SLACK_MS = 50;
    /** A node acknowledges a job within milliseconds; if it is silent for this many probe timeouts, its connection is lost. */
    private static final double MAX_SILENCE_IN_PROBE_TIMEOUTS = 2;
    /** Progress is reported at intervals; after this many without any report the job has stopped or its connection is lost. */
    private static final double MAX_SILENCE_IN_PROGRESS_INTERVALS = 1.5;
    /**
     * An order's last byte is held back for this long. A connection that is reset at the first bytes of a request is reset
     * within that time, and the order still starts promptly.
     */
    private static final double LAST_BYTE_DELAY_MS = 5;
    /** Idle connections are closed at this fraction of the time after which the node may close them. */
    private static final double RETIRE_FRACTION = 0.5;

    private final LoopContext context;
    private final Supplier<Dispatcher.Settings> settings;
    private final int maxConnections;
    private final Map<InetSocketAddress, Node> nodes = new HashMap<>();
    private int openConnections;

    /** Creates the links; their time limits follow the current settings, which SIGHUP may change. */
    WorkerLinks(LoopContext context, Supplier<Dispatcher.Settings> settings, int maxConnections) {
        this.context = context;
        this.settings = settings;
        this.maxConnections = maxConnections;
    }

    /** Returns how long a connection may idle, which is less than the keep-alive time of the node in the current settings. */
    private double maxIdleMs() {
        double keepaliveMs = settings.get().limits().keepaliveMs();
        return keepaliveMs > 0 ? keepaliveMs * RETIRE_FRACTION : 1000;
    }

    /** Returns how long a connection may take to be established. */
    private double connectTimeoutMs() {
        double configuredMs = settings.get().limits().dialTimeoutMs();
        return configuredMs > 0 ? configuredMs : DEFAULT_CONNECT_TIMEOUT_MS;
    }

    /** Returns how long a probe may take: the time to connect, since the node answers it at once. */
    private double probeTimeoutMs() {
        return connectTimeoutMs() + TIMEOUT_SLACK_MS;
    }

    /** Returns the link to the node at an address: the same one as long as the node is listed there. */
    NodeLink find(InetSocketAddress address) {
        return nodes.computeIfAbsent(address, Node::new);
    }

    private boolean isRepeatable(Attempt attempt) {
        return attempt.jobClass().effect()
                == Effect.FREE; // the class as it was when the job came, despite later settings
    }

    /** Closes an idle connection of any node, so that another can be opened; returns whether there was one. */
    private boolean closeIdleConnection() {
        for (Node node : nodes.values()) {
            if (!node.idleConnections.isEmpty()) {
                node.idleConnections.peekLast().close();
                return true;
            }
        }
        return false;
    }

    private final class Node implements NodeLink {
        private final InetSocketAddress address;
        private final ArrayDeque<WorkerConnection> idleConnections = new ArrayDeque<>();
        private final Map<Attempt, WorkerConnection> attempts = new HashMap<>();

        Node(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void send(Attempt attempt) {
            // The node may reset a reused connection at the next request, and an order could then not be retried.
            WorkerConnection connection =
                    isRepeatable(attempt) ? takeConnection(attempt.spec().id()) : new WorkerConnection(this);
            attempt.withholdLastByte(!isRepeatable(attempt));
            attempts.put(attempt, connection);
            connection.start(attempt, null);
        }

        @Override
        public void giveUp(Attempt attempt) {
            WorkerConnection connection = attempts.remove(attempt);
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void probe(Probe probe) {
            takeConnection(null).start(null, probe);
        }

        @Override
        public void closeIdle() {
            nodes.remove(address, this);
            while (!idleConnections.isEmpty()) {
                idleConnections.peek().close();
            }
        }

        /**
         * Takes the idle connection that was used last and is still open, or else creates one. A connection that carried
         * the same job before is closed, because a late second answer to that attempt would be attributed to the next.
         */
        private WorkerConnection takeConnection(String jobId) {
            for (WorkerConnection connection = idleConnections.peek();
                    connection != null;
                    connection = idleConnections.peek()) {
                connection.connection.readAvailable();
                if (connection != idleConnections.peek()) {
                    continue;
                }
                if (jobId != null && jobId.equals(connection.lastJobId)) {
                    connection.close();
                    continue;
                }
                idleConnections.poll();
                connection.retireTimer.cancel();
                return connection;
            }
            return new WorkerConnection(this);
        }
    }

    /** One connection to a node, and the attempt or probe that it carries. */
    private final class WorkerConnection implements ConnectionHandler {
        private final Node node;
        private final AnswerReader reader = new AnswerReader(MAX_ANSWER_BYTES);
        private Connection connection;
        private Attempt attempt;
        private Probe probe;
        private boolean connected;
        private boolean requestWritten;
        private boolean requestFlushed;
        /** Whether it has carried a request before; bytes that arrive now may still belong to that one. */
        private boolean reused;
        /** The id of the job that it carried last, or null. */
        private String lastJobId;

        private boolean closed;
        private boolean running;
        private double lastReceivedMs;
        private TimerWheel.Timer timeoutTimer;
        private TimerWheel.Timer retireTimer;

        WorkerConnection(Node node) {
            this.node = node;
            openConnections++;
        }

        void start(Attempt newAttempt, Probe newProbe) {
            attempt = newAttempt;
            probe = newProbe;
            lastJobId = newAttempt == null ? lastJobId : newAttempt.spec().id();
            requestWritten = false;
            requestFlushed = false;
            reader.reset();
            if (newProbe != null) {
                timeoutTimer = context.wheel()
                        .schedule(context.clock().nowMs() + probeTimeoutMs(), () -> endWith(Ending.TIMEOUT));
            }
            if (connection == null) {
                connect();
            } else {
                writeRequest();
            }
        }

        private void connect() {
            if (openConnections > maxConnections && !WorkerLinks.this.closeIdleConnection()) {
                // This process lacks connections; nothing was sent, so the ending says nothing about the node.
                context.counters().count("nodes.no_connection");
                context.wheel().schedule(context.clock().nowMs(), () -> endWith(Ending.MOOT));
                return;
            }
            connection = context.network().dial(node.address, opened -> this);
            context.wheel().schedule(context.clock().nowMs() + connectTimeoutMs(), () -> {
                if (!connected) {
                    endWith(Ending.CONNECT_FAILED);
                }
            });
        }

        @Override
        public void opened() {
            connected = true;
            if (closed) {
                return;
            }
            if (attempt == null) {
                writeRequest();
                return;
            }
            // The node may have begun to drain while connecting: nothing has been written, and nothing will be.
            writeIfSendable(attempt, this::writeRequest);
        }

        /** Writes once it is known that the attempt may still be sent, or else ends it: the node has seen nothing of it. */
        private void writeIfSendable(Attempt current, Runnable write) {
            current.whenSendable(
                    () -> {
                        if (attempt == current) {
                            write.run();
                        }
                    },
                    () -> {
                        if (attempt == current) {
                            endWith(Ending.CONNECT_FAILED);
                        }
                    });
        }

        private void writeRequest() {
            if (probe != null) {
                requestWritten = true;
                connection.write(AnswerEncoder.ascii("GET /stats HTTP/1.1\r\nHost: " + host() + "\r\n\r\n"));
                return;
            }
            var job = attempt.spec();
            ByteBuffer target = job.target() == null
                    ? AnswerEncoder.ascii('/' + attempt.jobClass().name())
                    : job.target().duplicate();
            ByteBuffer fields = AnswerEncoder.ascii(" HTTP/1.1\r\nHost: " + host() + "\r\nX-Txn: "
                    + job.id() + "\r\nX-Lane: " + attempt.jobClass().name() + "\r\nX-Remaining-Ms: "
                    + (long) Math.max(1, attempt.leftMs()) + "\r\n" + job.fields() + "Content-Length: "
                    + job.body().remaining() + "\r\n\r\n");
            if (isRepeatable(attempt)) {
                requestWritten = true;
                connection.write(AnswerEncoder.ascii("POST "), target, fields, job.body());
                lastReceivedMs = context.clock().nowMs();
                running = false;
                watchForSilence(attempt);
            } else {
                writeAllButLastByte(target, fields, job.body().duplicate());
            }
        }

        /**
         * Writes all but the last byte of a request, and that one a little later. An order whose connection fails before the
         * last byte is written has certainly not run.
         */
        private void writeAllButLastByte(ByteBuffer target, ByteBuffer fields, ByteBuffer body) {
            Attempt current = attempt;
            ByteBuffer lastPart = body.hasRemaining() ? body : fields;
            ByteBuffer last = lastPart.duplicate().position(lastPart.limit() - 1);
            lastPart.limit(lastPart.limit() - 1);
            connection.write(AnswerEncoder.ascii("POST "), target, fields, body);
            context.wheel().schedule(context.clock().nowMs() + LAST_BYTE_DELAY_MS, () -> {
                if (attempt == current) {
                    connection.readAvailable();
                }
                if (attempt == current) {
                    writeIfSendable(current, () -> {
                        requestWritten = true;
                        current.withholdLastByte(false);
                        connection.write(last);
                    });
                }
            });
        }

        /** Ends a repeatable attempt with a timeout once its connection has been silent for too long. */
        private void watchForSilence(Attempt watched) {
            context.wheel().schedule(context.clock().nowMs() + probeTimeoutMs(), () -> {
                if (attempt != watched) {
                    return;
                }
                double maxSilenceMs = !reader.hasHead() || reader.status() != 200
                        ? MAX_SILENCE_IN_PROBE_TIMEOUTS * probeTimeoutMs()
                        : running && settings.get().progressMs() > 0
                                ? MAX_SILENCE_IN_PROGRESS_INTERVALS
                                        * settings.get().progressMs()
                                : Double.POSITIVE_INFINITY;
                if (context.clock().nowMs() - lastReceivedMs >= maxSilenceMs) {
                    context.counters().count("nodes.silent");
                    endWith(Ending.TIMEOUT);
                } else {
                    watchForSilence(watched);
                }
            });
        }

        private String host() {
            return node.address.getHostString() + ':' + node.address.getPort();
        }

        @Override
        public void flushed() {
            if (requestWritten && !requestFlushed && attempt != null) {
                attempt.fullySent();
            }
            requestFlushed |= requestWritten;
        }

        @Override
        public void received(ByteBuffer received) {
            if (!requestWritten) {
                // Bytes on an idle connection, or before an order is complete, answer no request.
                endWith(Ending.CONNECT_FAILED);
                return;
            }
            lastReceivedMs = context.clock().nowMs();
            try {
                boolean answerComplete = reader.feed(received);
                if (answerComplete && received.hasRemaining()) {
                    throw new BadInput("bytes after the answer");
                }
                Runnable outcome =
                        attempt != null && reader.hasHead() && reader.status() == 200 ? readProgressLines() : null;
                if (outcome == null && answerComplete) {
                    outcome = readWholeAnswer();
                }
                Attempt endedAttempt = attempt;
                if (answerComplete) {
                    returnToPool();
                }
                if (outcome != null) {
                    node.attempts.remove(endedAttempt);
                    attempt = null;
                    if (!answerComplete && !closed) {
                        // The last line has come but not the end of the answer: if that never comes, the connection is
                        // closed.
                        timeoutTimer = context.wheel().schedule(context.clock().nowMs() + connectTimeoutMs(), () -> {
                            context.counters().count("nodes.unended");
                            close();
                        });
                    }
                    outcome.run();
                }
            } catch (BadMessageException | BadInput e) {
                context.counters().count("nodes.malformed");
                context.log().accept("malformed answer from " + host() + ": " + e.getMessage());
                // On a reused connection it may be a late second answer to the previous request, which is no error.
                endWith(reused ? Ending.RESET : Ending.ERROR);
            }
        }

        /** Reads the progress lines received; returns the action for the final one, or null if it has not come yet. */
        private Runnable readProgressLines() {
            Attempt current = attempt;
            for (byte[] line = reader.nextLine(); line != null; line = reader.nextLine()) {
                if (line.length == 0 || line.length == 1 && line[0] == '\r') {
                    continue;
                }
                Fields fields = Json.object("a job's line", line);
                if (!fields.text("id").equals(current.spec().id())) {
                    throw new BadInput("a line about another job");
                }
                LoadReport load = fields.has("load")
                        ? LoadReports.read(fields.object("load"), settings.get().reportsFreeSlots())
                        : null;
                switch (fields.text("state")) {
                    case "started" -> {
                        running = true;
                        current.started();
                    }
                    case "running" -> current.progressed(fields.number("share", 0));
                    case "done" -> {
                        byte[] result = fields.text("result").getBytes(StandardCharsets.UTF_8);
                        checkNothingFollows(line);
                        return () -> current.served(ByteBuffer.wrap(result), load);
                    }
                    case "failed" -> {
                        return () -> current.ended(Ending.ERROR, load);
                    }
                    case "returned" -> {
                        return () -> current.ended(Ending.FULL, load);
                    }
                    case "lost" -> {
                        return () -> current.ended(Ending.RESET, load);
                    }
                    default -> throw new BadInput("unknown state " + fields.text("state"));
                }
                if (attempt != current) {
                    return null; // the attempt was given up meanwhile
                }
            }
            return null;
        }

        /** Throws {@link BadInput} if the lines received go on after the final one, unless they repeat it. */
        private void checkNothingFollows(byte[] lastLine) {
            for (byte[] line = reader.nextLine(); line != null; line = reader.nextLine()) {
                boolean blank = line.length == 0 || line.length == 1 && line[0] == '\r';
                if (!blank && !Arrays.equals(line, lastLine)) {
                    throw new BadInput("a line after the last one");
                }
            }
        }

        private Runnable readWholeAnswer() {
            int status = reader.status();
            Attempt endedAttempt = attempt;
            if (probe != null) {
                Probe endedProbe = probe;
                LoadReport load = status == 200
                        ? LoadReports.read(reader.body(), settings.get().reportsFreeSlots())
                        : null;
                return () ->
                        endedProbe.ended(status == 200 ? Ending.OK : status == 503 ? Ending.FULL : Ending.ERROR, load);
            }
            if (endedAttempt == null) {
                return null;
            }
            String pressure = reader.head().field("X-Pressure");
            LoadReport load = pressure == null
                    ? null
                    : LoadReports.read(
                            AnswerEncoder.ascii(pressure), settings.get().reportsFreeSlots());
            boolean turnedAway =
                    (status == 503 || status == 504) && "1".equals(reader.head().field("X-Turned-Away"));
            return () ->
                    endedAttempt.ended(status == 200 ? Ending.RESET : turnedAway ? Ending.FULL : Ending.ERROR, load);
        }

        /** Returns the connection to the pool after a complete answer, before the core is called and may need it again. */
        private void returnToPool() {
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
                timeoutTimer = null;
            }
            probe = null;
            requestWritten = false;
            if (closed) {
                return;
            }
            // An answer that names no job may be a late second one to the previous request; the right one may still
            // come.
            boolean mayBeLateAnswer = reused && reader.status() != 200;
            reused = true;
            if (!reader.keepsConnection() || !requestFlushed || mayBeLateAnswer) {
                close();
                return;
            }
            node.idleConnections.push(this);
            retireTimer = context.wheel().schedule(context.clock().nowMs() + maxIdleMs(), this::close);
        }

        @Override
        public void ended() {
            if (probe != null && reused && !reader.hasHead()) {
                // The node has closed an idle connection, which says nothing about its health: probes it again on a new
                // one.
                Probe retried = probe;
                close();
                new WorkerConnection(node).start(null, retried);
                return;
            }
            if ((attempt != null || probe != null) && requestFlushed && reader.endOfStream()) {
                received(ByteBuffer.allocate(0));
            }
            endWith(connected && requestFlushed ? Ending.RESET : Ending.CONNECT_FAILED);
        }

        /** Closes the connection and ends the attempt or probe that it carries with the given ending. */
        private void endWith(Ending ending) {
            Attempt endedAttempt = attempt;
            Probe endedProbe = probe;
            close();
            if (endedAttempt != null) {
                node.attempts.remove(endedAttempt);
                endedAttempt.ended(ending, null);
            }
            if (endedProbe != null) {
                endedProbe.ended(ending, null);
            }
        }

        private void close() {
            if (closed) {
                return;
            }
            closed = true;
            openConnections--;
            attempt = null;
            probe = null;
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
            }
            node.idleConnections.remove(this);
            if (connection != null) {
                connection.closeNow();
            }
        }
    }
}
