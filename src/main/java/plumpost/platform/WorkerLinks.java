package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
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
import plumpost.http.AnswerReader;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.time.TimerWheel;

/** The route nodes that speak HTTP: one link each, with its pool of connections. */
final class WorkerLinks {
    private static final int ANSWER_LIMIT = 256 * 1024;
    /** Where the settings do not say how long a connection may take to come up. */
    private static final double DIAL_MS = 250;
    /** By so much the protocol's page lengthens each limit on sockets. */
    private static final double SLACK_MS = 50;
    /** A node says within milliseconds that it has taken a job: silent for so many probes' time, its connection is lost. */
    private static final double TAKEN_PROBES = 2;
    /** Progress comes at intervals: after so many without any the job has stopped or its connection is silent. */
    private static final double INTERVALS = 1.5;
    /** What is reset at a request's first bytes is so by now, well within what counts as a prompt start; an order's last byte is kept back for that long. */
    private static final double PROVING_MS = 5;
    /** Idle connections are retired at this part of the time after which the node may close them. */
    private static final double RETIRE_AT = 0.5;

    private final LoopContext kit;
    private final Supplier<Dispatcher.Settings> settings;
    private final int mostConnections;
    private final Map<InetSocketAddress, Node> nodes = new HashMap<>();
    private int connections;

    /** Links whose figures follow the settings in force, which SIGHUP may change. */
    WorkerLinks(LoopContext kit, Supplier<Dispatcher.Settings> settings, int mostConnections) {
        this.kit = kit;
        this.settings = settings;
        this.mostConnections = mostConnections;
    }

    /** How long a connection may idle: the node closes it after the time in the settings in force. */
    private double retireMs() {
        double keep = settings.get().limits().keepaliveMs();
        return keep > 0 ? keep * RETIRE_AT : 1000;
    }

    /** How long a connection may take to come up. */
    private double dialMs() {
        double said = settings.get().limits().dialTimeoutMs();
        return said > 0 ? said : DIAL_MS;
    }

    /** How long a probe may take: its connection has to come up, and what it asks for is answered at once. */
    private double probeMs() {
        return dialMs() + SLACK_MS;
    }

    /** The link to the node at an address; the same one as long as the node is listed there. */
    NodeLink at(InetSocketAddress dial) {
        return nodes.computeIfAbsent(dial, Node::new);
    }

    private boolean repeatable(Attempt attempt) {
        return attempt.jobClass().effect() == Effect.FREE; // the class the job came with, whatever came since
    }

    /** Ends a connection that idles, of whichever node, so that another can be opened. */
    private boolean room() {
        for (Node n : nodes.values()) {
            if (!n.idle.isEmpty()) {
                n.idle.peekLast().drop();
                return true;
            }
        }
        return false;
    }

    private final class Node implements NodeLink {
        private final InetSocketAddress dial;
        private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();
        private final Map<Attempt, WorkerConnection> out = new HashMap<>();

        Node(InetSocketAddress dial) {
            this.dial = dial;
        }

        @Override
        public void send(Attempt attempt) {
            // A kept connection may be reset by what is written next, and an order may then not go again.
            WorkerConnection c = repeatable(attempt) ? free(attempt.sheet().id()) : new WorkerConnection(this);
            out.put(attempt, c);
            c.begin(attempt, null);
        }

        @Override
        public void giveUp(Attempt attempt) {
            WorkerConnection c = out.remove(attempt);
            if (c != null) {
                c.drop();
            }
        }

        @Override
        public void probe(Probe probe) {
            free(null).begin(null, probe);
        }

        @Override
        public void leave() {
            nodes.remove(dial, this);
            while (!idle.isEmpty()) {
                idle.peek().drop();
            }
        }

        /**
         * The connection that idled last, if it is sure to be open still; else a new one. Not one that carried the same
         * job before: a late second answer to that try would be taken for this one's.
         */
        private WorkerConnection free(String job) {
            for (WorkerConnection c = idle.peek(); c != null; c = idle.peek()) {
                c.wire.look();
                if (c != idle.peek()) {
                    continue;
                }
                if (job != null && job.equals(c.carried)) {
                    c.drop();
                    continue;
                }
                idle.poll();
                c.retire.cancel();
                return c;
            }
            return new WorkerConnection(this);
        }
    }

    /** One connection to a node, with the attempt or probe it carries. */
    private final class WorkerConnection implements ConnectionHandler {
        private final Node node;
        private final AnswerReader reader = new AnswerReader(ANSWER_LIMIT);
        private Connection wire;
        private Attempt attempt;
        private Probe probe;
        private boolean up;
        private boolean given;
        private boolean written;
        /** It has carried something before: what comes now may still be about that. */
        private boolean kept;
        /** The job that it carried last. */
        private String carried;

        private boolean gone;
        private boolean running;
        private double heardAt;
        private TimerWheel.Timer limit;
        private TimerWheel.Timer retire;

        WorkerConnection(Node node) {
            this.node = node;
            connections++;
        }

        void begin(Attempt a, Probe p) {
            attempt = a;
            probe = p;
            carried = a == null ? carried : a.sheet().id();
            given = false;
            written = false;
            reader.next();
            if (p != null) {
                limit = kit.wheel().at(kit.clock().nowMs() + probeMs(), () -> end(Ending.TIMEOUT));
            }
            if (wire == null) {
                dial();
            } else {
                request();
            }
        }

        private void dial() {
            if (connections > mostConnections && !WorkerLinks.this.room()) {
                // Our own lack and no fault of the node's: nothing was sent, nothing is learned.
                kit.counters().count("nodes.no_connection");
                kit.wheel().at(kit.clock().nowMs(), () -> end(Ending.MOOT));
                return;
            }
            wire = kit.network().dial(node.dial, w -> this);
            kit.wheel().at(kit.clock().nowMs() + dialMs(), () -> {
                if (!up) {
                    end(Ending.CONNECT_FAILED);
                }
            });
        }

        @Override
        public void opened() {
            up = true;
            if (gone) {
                return;
            }
            if (attempt != null && !attempt.wanted()) {
                // Told to drain while the connection came up: nothing has been written, nothing will be.
                end(Ending.CONNECT_FAILED);
            } else {
                request();
            }
        }

        private void request() {
            if (probe != null) {
                given = true;
                wire.write(Answers.ascii("GET /stats HTTP/1.1\r\nHost: " + host() + "\r\n\r\n"));
                return;
            }
            var job = attempt.sheet();
            ByteBuffer target = job.target() == null
                    ? Answers.ascii('/' + attempt.jobClass().name())
                    : job.target().duplicate();
            ByteBuffer fields = Answers.ascii(" HTTP/1.1\r\nHost: " + host() + "\r\nX-Txn: "
                    + job.id() + "\r\nX-Lane: " + attempt.jobClass().name() + "\r\nX-Remaining-Ms: "
                    + (long) Math.max(1, attempt.leftMs()) + "\r\n" + job.fields() + "Content-Length: "
                    + job.body().remaining() + "\r\n\r\n");
            if (repeatable(attempt)) {
                given = true;
                wire.write(Answers.ascii("POST "), target, fields, job.body());
                heardAt = kit.clock().nowMs();
                running = false;
                watch(attempt);
            } else {
                prove(target, fields, job.body().duplicate());
            }
        }

        /** Writes all but the last byte: an order whose connection breaks before that is written never ran. */
        private void prove(ByteBuffer target, ByteBuffer fields, ByteBuffer body) {
            Attempt a = attempt;
            ByteBuffer end = body.hasRemaining() ? body : fields;
            ByteBuffer last = end.duplicate().position(end.limit() - 1);
            end.limit(end.limit() - 1);
            wire.write(Answers.ascii("POST "), target, fields, body);
            kit.wheel().at(kit.clock().nowMs() + PROVING_MS, () -> {
                if (attempt == a) {
                    wire.look();
                }
                if (attempt != a) {
                    return;
                }
                if (a.wanted()) {
                    given = true;
                    wire.write(last);
                } else {
                    end(Ending.CONNECT_FAILED);
                }
            });
        }

        /** Ends an attempt whose connection has fallen silent; its job may be repeated. */
        private void watch(Attempt a) {
            kit.wheel().at(kit.clock().nowMs() + probeMs(), () -> {
                if (attempt != a) {
                    return;
                }
                double most = !reader.hasHead() || reader.status() != 200
                        ? TAKEN_PROBES * probeMs()
                        : running && settings.get().progressMs() > 0
                                ? INTERVALS * settings.get().progressMs()
                                : Double.POSITIVE_INFINITY;
                if (kit.clock().nowMs() - heardAt >= most) {
                    kit.counters().count("nodes.silent");
                    end(Ending.TIMEOUT);
                } else {
                    watch(a);
                }
            });
        }

        private String host() {
            return node.dial.getHostString() + ':' + node.dial.getPort();
        }

        @Override
        public void flushed() {
            if (given && !written && attempt != null) {
                attempt.whole();
            }
            written |= given;
        }

        @Override
        public void bytes(ByteBuffer in) {
            if (!given) {
                // On an idle connection they belong to nothing; before an order is whole they are no answer to it.
                end(Ending.CONNECT_FAILED);
                return;
            }
            heardAt = kit.clock().nowMs();
            try {
                boolean whole = reader.feed(in);
                if (whole && in.hasRemaining()) {
                    throw new BadInput("bytes after the answer");
                }
                Runnable news = attempt != null && reader.hasHead() && reader.status() == 200 ? lines() : null;
                if (news == null && whole) {
                    news = wholeAnswer();
                }
                Attempt was = attempt;
                if (whole) {
                    rest();
                }
                if (news != null) {
                    node.out.remove(was);
                    attempt = null;
                    if (!whole && !gone) {
                        // Its last line has come and its end has not: one that never comes must not hold the place.
                        limit = kit.wheel().at(kit.clock().nowMs() + dialMs(), () -> {
                            kit.counters().count("nodes.unended");
                            drop();
                        });
                    }
                    news.run();
                }
            } catch (BadMessage | BadInput e) {
                kit.counters().count("nodes.malformed");
                kit.log().accept("malformed answer from " + host() + ": " + e.getMessage());
                end(kept ? Ending.RESET : Ending.ERROR); // a late second answer to what went before is no fault of this
            }
        }

        /** Reads the lines that have come; what the last one means, or null before it. */
        private Runnable lines() {
            Attempt a = attempt;
            for (byte[] line = reader.line(); line != null; line = reader.line()) {
                if (line.length == 0 || line.length == 1 && line[0] == '\r') {
                    continue;
                }
                Fields f = Json.object("a job's line", line);
                if (!f.text("id").equals(a.sheet().id())) {
                    throw new BadInput("a line about another job");
                }
                LoadReport load = f.has("load")
                        ? LoadReports.read(f.object("load"), settings.get().reportsFreeSlots())
                        : null;
                switch (f.text("state")) {
                    case "started" -> {
                        running = true;
                        a.started();
                    }
                    case "running" -> a.progressed(f.number("share", 0));
                    case "done" -> {
                        byte[] result = f.text("result", "").getBytes(java.nio.charset.StandardCharsets.UTF_8);
                        return () -> a.served(ByteBuffer.wrap(result), load);
                    }
                    case "failed" -> {
                        return () -> a.ended(Ending.ERROR, load);
                    }
                    case "returned" -> {
                        return () -> a.ended(Ending.FULL, load);
                    }
                    case "lost" -> {
                        return () -> a.ended(Ending.RESET, load);
                    }
                    default -> throw new BadInput("unknown state " + f.text("state"));
                }
                if (attempt != a) {
                    return null; // given up in the meantime
                }
            }
            return null;
        }

        private Runnable wholeAnswer() {
            int status = reader.status();
            Attempt a = attempt;
            if (probe != null) {
                Probe p = probe;
                LoadReport load = status == 200
                        ? LoadReports.read(reader.body(), settings.get().reportsFreeSlots())
                        : null;
                return () -> p.ended(status == 200 ? Ending.OK : status == 503 ? Ending.FULL : Ending.ERROR, load);
            }
            if (a == null) {
                return null;
            }
            String pressure = reader.head().field("X-Pressure");
            LoadReport load = pressure == null
                    ? null
                    : LoadReports.read(Answers.ascii(pressure), settings.get().reportsFreeSlots());
            boolean turnedAway =
                    (status == 503 || status == 504) && "1".equals(reader.head().field("X-Turned-Away"));
            return () -> a.ended(status == 200 ? Ending.RESET : turnedAway ? Ending.FULL : Ending.ERROR, load);
        }

        /** The answer is whole: the connection goes back to the pool, before the core may want it again. */
        private void rest() {
            if (limit != null) {
                limit.cancel();
                limit = null;
            }
            probe = null;
            given = false;
            if (gone) {
                return;
            }
            // One that names no job may be a late second answer to the one before: the true one may be yet to come.
            boolean whose = kept && reader.status() != 200;
            kept = true;
            if (!reader.keeps() || !written || whose) {
                drop();
                return;
            }
            node.idle.push(this);
            retire = kit.wheel().at(kit.clock().nowMs() + retireMs(), this::drop);
        }

        @Override
        public void ended() {
            if (probe != null && kept && !reader.hasHead()) {
                // The node ended a connection that it had kept: that says nothing of the node, a new one does.
                Probe again = probe;
                drop();
                new WorkerConnection(node).begin(null, again);
                return;
            }
            if ((attempt != null || probe != null) && written && reader.end()) {
                bytes(ByteBuffer.allocate(0));
            }
            end(up && written ? Ending.RESET : Ending.CONNECT_FAILED);
        }

        /** Ends the connection, and with the given outcome what it carries. */
        private void end(Ending how) {
            Attempt a = attempt;
            Probe p = probe;
            drop();
            if (a != null) {
                node.out.remove(a);
                a.ended(how, null);
            }
            if (p != null) {
                p.ended(how, null);
            }
        }

        private void drop() {
            if (gone) {
                return;
            }
            gone = true;
            connections--;
            attempt = null;
            probe = null;
            if (limit != null) {
                limit.cancel();
            }
            node.idle.remove(this);
            if (wire != null) {
                wire.cut();
            }
        }
    }
}
