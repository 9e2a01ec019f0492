package plumpost;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.config.SettingsReader;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.gearman.GearmanFront;
import plumpost.gearman.Packet;
import plumpost.gearman.PacketReader;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.platform.Platform;
import plumpost.time.TimerWheel;

/** Runs the HTTP and Gearman fronts together on real loopback sockets with ephemeral ports and a simulated clock. */
class LoopbackTest {
    private static final int JOBS = 10_000;
    private static final double TICK_MS = 0.2;

    private double now = 1_700_000_000_000.0;
    private final SplittableRandom random = new SplittableRandom(11);
    private final TimerWheel wheel = new TimerWheel(now);
    private final Counters counters = new Counters();
    private final List<String> log = new ArrayList<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, Integer> answerCounts = new HashMap<>();
    private final Map<String, String> outcomes = new HashMap<>();
    private final Counters injectedFaults = new Counters();
    private int begunJobs;
    private int openJobs;
    private SelectorLoop loop;
    private InetSocketAddress httpAddress;
    private InetSocketAddress gearmanAddress;

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    private static ByteBuffer encode(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static InetSocketAddress anyLoopbackPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void countRun(String job) {
        runCounts.merge(job, 1, Integer::sum);
    }

    private void runLater(Runnable action) {
        wheel.schedule(now + 1 + random.nextInt(8), action);
    }

    private void recordAnswer(String job, String outcome) {
        answerCounts.merge(job, 1, Integer::sum);
        String earlier = outcomes.putIfAbsent(job, outcome);
        assertThat(earlier == null ? outcome : earlier).as("outcome of " + job).isEqualTo(outcome);
    }

    /** Base of the simulated peers: holds the connection and whether it has ended. */
    private abstract class SimulatedPeer implements ConnectionHandler {
        Connection connection;
        boolean closed;

        ConnectionHandler attach(Connection newConnection) {
            connection = newConnection;
            return this;
        }

        @Override
        public void ended() {
            closed = true;
        }
    }

    /** An HTTP route node that runs a job, turns it away without running it, or closes the connection while it runs. */
    private final class HttpNode extends SimulatedPeer {
        private final RequestReader reader = new RequestReader(1 << 16);

        @Override
        public void received(ByteBuffer in) {
            if (!feedValid(() -> reader.feed(in))) {
                return;
            }
            String id = reader.head().field("X-Txn");
            String body = StandardCharsets.ISO_8859_1.decode(reader.body()).toString();
            reader.reset();
            if (chance(2)) {
                connection.write(encode("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            countRun(body);
            runLater(() -> {
                if (chance(2)) {
                    injectedFaults.count("node disconnects");
                    closed = true;
                    connection.closeNow();
                    return;
                }
                String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"did " + body + "\"}\n";
                connection.write(encode("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n0\r\n\r\n"));
            });
        }
    }

    /** A Gearman worker that completes jobs; sometimes it disconnects during a job and a new worker connects. */
    private final class GearmanWorker extends SimulatedPeer {
        private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 17);

        private void send(Packet.Type type, Object... arguments) {
            if (!closed) {
                connection.write(Packet.encode(Packet.REQUEST, type, arguments));
            }
        }

        @Override
        public void opened() {
            send(Packet.Type.CAN_DO, "route-plan");
            send(Packet.Type.CAN_DO, "pickup-order");
            send(Packet.Type.GRAB_JOB_UNIQ);
        }

        @Override
        public void received(ByteBuffer in) {
            for (Packet packet = nextPacket(reader, in); packet != null; packet = nextPacket(reader, in)) {
                switch (packet.type()) {
                    case NO_JOB -> send(Packet.Type.PRE_SLEEP);
                    case NOOP -> send(Packet.Type.GRAB_JOB_UNIQ);
                    case JOB_ASSIGN_UNIQ -> run(packet.text(0), packet.text(3));
                    default -> throw new AssertionError(packet);
                }
            }
        }

        private void run(String handle, String body) {
            countRun(body);
            runLater(() -> {
                if (chance(2)) {
                    injectedFaults.count("worker disconnects");
                    closed = true;
                    connection.closeNow();
                    loop.dial(gearmanAddress, w -> new GearmanWorker().attach(w));
                } else {
                    send(Packet.Type.WORK_COMPLETE, handle, "did " + body);
                    send(Packet.Type.GRAB_JOB_UNIQ);
                }
            });
        }
    }

    /** One call of an HTTP parser; returns whether a message is complete. */
    private interface MessageParser {
        boolean feed() throws BadMessageException;
    }

    /** Feeds a parser and fails the test if the scheduler sent a malformed message. */
    private static boolean feedValid(MessageParser parser) {
        try {
            return parser.feed();
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    private static Packet nextPacket(PacketReader reader, ByteBuffer in) {
        try {
            return reader.next(in);
        } catch (PacketReader.BadPacket e) {
            throw new AssertionError(e);
        }
    }

    private String beginJob(String front) {
        begunJobs++;
        openJobs++;
        return (chance(30) ? "pickup-order" : "route-plan") + ":" + front + begunJobs;
    }

    private static String classOf(String job) {
        return job.substring(0, job.indexOf(':'));
    }

    /** An HTTP client that sends one job at a time; sometimes it disconnects during a job and starts the next one. */
    private final class HttpClient extends SimulatedPeer {
        private final AnswerReader reader = new AnswerReader(1 << 17);
        private String job;

        @Override
        public void opened() {
            if (begunJobs == JOBS) {
                return;
            }
            job = beginJob("http");
            connection.write(encode("POST /" + classOf(job) + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + begunJobs
                    + "\r\nX-Remaining-Ms: " + "20000\r\nContent-Length: " + job.length() + "\r\n\r\n" + job));
            if (chance(2)) {
                String abandoned = job;
                wheel.schedule(now + 4, () -> {
                    if (!closed && abandoned.equals(job)) {
                        injectedFaults.count("HTTP client disconnects");
                        closed = true;
                        connection.closeNow();
                        recordAnswer(job, "left");
                        openJobs--;
                        loop.dial(httpAddress, w -> new HttpClient().attach(w));
                    }
                });
            }
        }

        @Override
        public void received(ByteBuffer in) {
            if (!feedValid(() -> reader.feed(in))) {
                return;
            }
            assertThat(in.hasRemaining()).as("bytes after the answer").isFalse();
            String body = StandardCharsets.ISO_8859_1.decode(reader.body()).toString();
            assertThat(reader.status() == 200 ? body : "did " + job).isEqualTo("did " + job);
            recordAnswer(job, String.valueOf(reader.status()));
            openJobs--;
            reader.reset();
            job = null;
            opened();
        }
    }

    /** A Gearman client that sends one job at a time; sometimes it reconnects and resubmits it or a done one. */
    private final class GearmanClient extends SimulatedPeer {
        private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 17);
        private String job;
        private boolean resubmitted;

        @Override
        public void opened() {
            if (job == null) {
                if (begunJobs == JOBS) {
                    return;
                }
                job = beginJob("gearman");
            }
            connection.write(Packet.encode(Packet.REQUEST, Packet.Type.SUBMIT_JOB, classOf(job), job, job));
        }

        @Override
        public void received(ByteBuffer in) {
            for (Packet packet = nextPacket(reader, in); packet != null && !closed; packet = nextPacket(reader, in)) {
                switch (packet.type()) {
                    case JOB_CREATED -> {
                        if (chance(4) && !resubmitted) {
                            runLater(this::leaveAndResubmit);
                        }
                    }
                    case WORK_COMPLETE -> complete(packet.text(1));
                    case WORK_FAIL -> complete("failed");
                    default -> throw new AssertionError(packet);
                }
            }
        }

        private void leaveAndResubmit() {
            if (!closed && job != null && !resubmitted) {
                injectedFaults.count("Gearman client resubmits");
                closed = true;
                connection.closeNow();
                GearmanClient successor = new GearmanClient();
                successor.job = job;
                loop.dial(gearmanAddress, successor::attach);
            }
        }

        private void complete(String outcome) {
            assertThat(job).as("an answer without an open job").isNotNull();
            if (resubmitted) {
                assertThat(outcome).as("kept outcome of " + job).isEqualTo(outcomes.get(job));
                resubmitted = false;
            } else {
                recordAnswer(job, outcome);
                openJobs--;
                if (chance(4)) {
                    injectedFaults.count("finished job is resubmitted");
                    resubmitted = true;
                    opened();
                    return;
                }
            }
            job = null;
            opened();
        }
    }

    /**
     * Guards against double runs when jobs of both fronts are mixed: over 10,000 jobs, with workers and nodes that
     * disconnect and clients that leave and resubmit, no order runs twice and each job gets one answer.
     */
    @Test
    void noOrderRunsTwiceOnMixedFronts() throws IOException {
        loop = new SelectorLoop(() -> now, wheel, counters, log::add);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            InetSocketAddress address = loop.listen(anyLoopbackPort(), w -> new HttpNode().attach(w), 100, () -> false)
                    .address();
            hosts.append(i > 0 ? "," : "")
                    .append("{\"host\":\"n" + i + "\",\"dial\":\"127.0.0.1:" + address.getPort()
                            + "\",\"site\":\"p\",\"class\":\"k\",\"health\":\"up\"}");
        }
        Json.Fields raw = Json.object(
                "settings", Scenario.SETTINGS.replace("on_request", "pushed").getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        NodeConfig config = new NodeConfig(
                "t",
                anyLoopbackPort(),
                anyLoopbackPort(),
                7,
                1024,
                SettingsReader.settings(raw),
                raw,
                known,
                GearmanConfig.withDefaults(anyLoopbackPort()),
                null,
                null);
        DispatchCore core = new DispatchCore(
                config.settings(),
                7,
                () -> now,
                wheel,
                counters,
                new DispatchCore.Bounds(1000, 1 << 24, JOBS, 1 << 24),
                log::add);
        LoopContext context = new LoopContext(loop, () -> now, wheel, counters, log::add);
        Platform platform = new Platform(config, core, context, loop::lagMs, 1 << 20);
        GearmanFront gearmanFront = new GearmanFront(config, "0", core, context, () -> {});
        httpAddress = loop.listen(anyLoopbackPort(), platform::accept, 100, () -> false)
                .address();
        gearmanAddress = loop.listen(anyLoopbackPort(), gearmanFront::accept, 100, () -> false)
                .address();
        platform.start();
        for (int i = 0; i < 10; i++) {
            loop.dial(gearmanAddress, w -> new GearmanWorker().attach(w));
            loop.dial(httpAddress, w -> new HttpClient().attach(w));
            loop.dial(gearmanAddress, w -> new GearmanClient().attach(w));
        }
        for (int turns = 0; (begunJobs < JOBS || openJobs > 0) && turns < 2_000_000; turns++) {
            loop.turn(0);
            now += TICK_MS;
        }
        loop.run(() -> true);

        assertThat(log).filteredOn(l -> l.contains("fault")).isEmpty();
        assertThat(openJobs).as("jobs without an answer").isZero();
        assertThat(answerCounts).hasSize(JOBS);
        assertThat(answerCounts.values()).as("answers per job").containsOnly(1);
        assertThat(runCounts.entrySet().stream()
                        .filter(e -> classOf(e.getKey()).equals("pickup-order") && e.getValue() > 1))
                .as("orders that ran twice")
                .isEmpty();
        assertThat(counters.get("guard.unanswered") + counters.get("guard.repeat"))
                .isZero();
        assertThat(List.of(
                        "node disconnects",
                        "worker disconnects",
                        "HTTP client disconnects",
                        "Gearman client resubmits",
                        "finished job is resubmitted"))
                .allMatch(fault -> injectedFaults.get(fault) > 20);
        assertThat(counters.get("jobs.joined")).isPositive();
        assertThat(runCounts.values().stream().filter(n -> n > 1))
                .as("route plans that ran again")
                .isNotEmpty();
        assertThat(outcomes.values().stream()
                        .filter(o -> o.startsWith("did ") || o.equals("200"))
                        .count())
                .as("served jobs")
                .isGreaterThan(JOBS * 9 / 10);
    }
}
