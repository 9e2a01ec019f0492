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
import plumpost.http.BadMessage;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.platform.Platform;
import plumpost.time.TimerWheel;

/** Both fronts at once on real loopback sockets, at ports that the system gives and by a clock that the test turns. */
class LoopbackTest {
    private static final int JOBS = 10_000;
    private static final double TURN_MS = 0.2;

    private double now = 1_700_000_000_000.0;
    private final SplittableRandom random = new SplittableRandom(11);
    private final TimerWheel wheel = new TimerWheel(now);
    private final Counters counters = new Counters();
    private final List<String> log = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private final Map<String, String> outcomes = new HashMap<>();
    private final Counters seen = new Counters();
    private int begun;
    private int open;
    private SelectorLoop loop;
    private InetSocketAddress front;
    private InetSocketAddress gearman;

    private boolean chance(int inHundred) {
        return random.nextInt(100) < inHundred;
    }

    private static ByteBuffer wired(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static InetSocketAddress anywhere() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void ran(String job) {
        runs.merge(job, 1, Integer::sum);
    }

    private void later(Runnable what) {
        wheel.at(now + 1 + random.nextInt(8), what);
    }

    private void answered(String job, String outcome) {
        answers.merge(job, 1, Integer::sum);
        String before = outcomes.putIfAbsent(job, outcome);
        assertThat(before == null ? outcome : before).as("outcome of " + job).isEqualTo(outcome);
    }

    /** What the stand-ins have in common: a wire, and a peer that may be gone. */
    private abstract class StandIn implements ConnectionHandler {
        Connection wire;
        boolean gone;

        ConnectionHandler on(Connection w) {
            wire = w;
            return this;
        }

        @Override
        public void ended() {
            gone = true;
        }
    }

    /** A route node by HTTP: runs a job, turns it away unseen, or breaks in the middle of it. */
    private final class HttpNode extends StandIn {
        private final RequestReader reader = new RequestReader(1 << 16);

        @Override
        public void bytes(ByteBuffer in) {
            if (!whole(() -> reader.feed(in))) {
                return;
            }
            String id = reader.head().field("X-Txn");
            String body = StandardCharsets.ISO_8859_1.decode(reader.body()).toString();
            reader.next();
            if (chance(2)) {
                wire.write(wired("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            ran(body);
            later(() -> {
                if (chance(2)) {
                    seen.count("node drops");
                    gone = true;
                    wire.cut();
                    return;
                }
                String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"did " + body + "\"}\n";
                wire.write(wired("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n0\r\n\r\n"));
            });
        }
    }

    /** A Gearman worker that grabs, runs and completes; sometimes it is lost mid-job and another one comes. */
    private final class Worker extends StandIn {
        private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 17);

        private void say(Packet.Type type, Object... arguments) {
            if (!gone) {
                wire.write(Packet.bytes(Packet.REQUEST, type, arguments));
            }
        }

        @Override
        public void opened() {
            say(Packet.Type.CAN_DO, "route-plan");
            say(Packet.Type.CAN_DO, "pickup-order");
            say(Packet.Type.GRAB_JOB_UNIQ);
        }

        @Override
        public void bytes(ByteBuffer in) {
            for (Packet p = next(reader, in); p != null; p = next(reader, in)) {
                switch (p.type()) {
                    case NO_JOB -> say(Packet.Type.PRE_SLEEP);
                    case NOOP -> say(Packet.Type.GRAB_JOB_UNIQ);
                    case JOB_ASSIGN_UNIQ -> run(p.text(0), p.text(3));
                    default -> throw new AssertionError(p);
                }
            }
        }

        private void run(String handle, String body) {
            ran(body);
            later(() -> {
                if (chance(2)) {
                    seen.count("worker drops");
                    gone = true;
                    wire.cut();
                    loop.dial(gearman, w -> new Worker().on(w));
                } else {
                    say(Packet.Type.WORK_COMPLETE, handle, "did " + body);
                    say(Packet.Type.GRAB_JOB_UNIQ);
                }
            });
        }
    }

    /** A machine's feeding; the scheduler's bytes must never be malformed. */
    private interface Feeding {
        boolean whole() throws BadMessage;
    }

    private static boolean whole(Feeding feeding) {
        try {
            return feeding.whole();
        } catch (BadMessage e) {
            throw new AssertionError(e);
        }
    }

    private static Packet next(PacketReader reader, ByteBuffer in) {
        try {
            return reader.next(in);
        } catch (PacketReader.BadPacket e) {
            throw new AssertionError(e);
        }
    }

    private String begin(String kind) {
        begun++;
        open++;
        return (chance(30) ? "pickup-order" : "route-plan") + ":" + kind + begun;
    }

    private static String cls(String job) {
        return job.substring(0, job.indexOf(':'));
    }

    /** A front desk by HTTP, a job after the other; sometimes it hangs up in the middle and goes on with the next. */
    private final class Desk extends StandIn {
        private final AnswerReader reader = new AnswerReader(1 << 17);
        private String job;

        @Override
        public void opened() {
            if (begun == JOBS) {
                return;
            }
            job = begin("http");
            wire.write(wired("POST /" + cls(job) + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + begun + "\r\nX-Remaining-Ms: "
                    + "20000\r\nContent-Length: " + job.length() + "\r\n\r\n" + job));
            if (chance(2)) {
                String left = job;
                wheel.at(now + 4, () -> {
                    if (!gone && left.equals(job)) {
                        seen.count("desk hangs up");
                        gone = true;
                        wire.cut();
                        answered(job, "left");
                        open--;
                        loop.dial(front, w -> new Desk().on(w));
                    }
                });
            }
        }

        @Override
        public void bytes(ByteBuffer in) {
            if (!whole(() -> reader.feed(in))) {
                return;
            }
            assertThat(in.hasRemaining()).as("a second answer").isFalse();
            String body = StandardCharsets.ISO_8859_1.decode(reader.body()).toString();
            assertThat(reader.status() == 200 ? body : "did " + job).isEqualTo("did " + job);
            answered(job, String.valueOf(reader.status()));
            open--;
            reader.next();
            job = null;
            opened();
        }
    }

    /** A Gearman client, a job after the other; sometimes it leaves and resubmits, or resubmits what is done. */
    private final class Client extends StandIn {
        private final PacketReader reader = new PacketReader(Packet.RESPONSE, false, 1 << 17);
        private String job;
        private boolean again;

        @Override
        public void opened() {
            if (job == null) {
                if (begun == JOBS) {
                    return;
                }
                job = begin("gearman");
            }
            wire.write(Packet.bytes(Packet.REQUEST, Packet.Type.SUBMIT_JOB, cls(job), job, job));
        }

        @Override
        public void bytes(ByteBuffer in) {
            for (Packet p = next(reader, in); p != null && !gone; p = next(reader, in)) {
                switch (p.type()) {
                    case JOB_CREATED -> {
                        if (chance(4) && !again) {
                            later(this::leaveAndResubmit);
                        }
                    }
                    case WORK_COMPLETE -> done(p.text(1));
                    case WORK_FAIL -> done("failed");
                    default -> throw new AssertionError(p);
                }
            }
        }

        private void leaveAndResubmit() {
            if (!gone && job != null && !again) {
                seen.count("client resubmits");
                gone = true;
                wire.cut();
                Client next = new Client();
                next.job = job;
                loop.dial(gearman, next::on);
            }
        }

        private void done(String outcome) {
            assertThat(job).as("an answer for nothing").isNotNull();
            if (again) {
                assertThat(outcome).as("kept outcome of " + job).isEqualTo(outcomes.get(job));
                again = false;
            } else {
                answered(job, outcome);
                open--;
                if (chance(4)) {
                    seen.count("resubmits of what is done");
                    again = true;
                    opened();
                    return;
                }
            }
            job = null;
            opened();
        }
    }

    /**
     * Guards the promise of the second front: mixed with the first, over 10,000 jobs with lost workers, broken nodes,
     * clients that leave and resubmit, no order runs twice and each job gets one answer.
     */
    @Test
    void noOrderRunsTwiceOnMixedFronts() throws IOException {
        loop = new SelectorLoop(() -> now, wheel, counters, log::add);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            InetSocketAddress at = loop.listen(anywhere(), w -> new HttpNode().on(w), 100, () -> false)
                    .address();
            hosts.append(i > 0 ? "," : "")
                    .append("{\"host\":\"n" + i + "\",\"dial\":\"127.0.0.1:" + at.getPort()
                            + "\",\"site\":\"p\",\"class\":\"k\",\"health\":\"up\"}");
        }
        Json.Fields raw = Json.object(
                "settings", Scenario.SETTINGS.replace("on_request", "pushed").getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        NodeConfig config = new NodeConfig(
                "t",
                anywhere(),
                anywhere(),
                7,
                1024,
                SettingsReader.settings(raw),
                raw,
                known,
                GearmanConfig.usual(anywhere()),
                null,
                null);
        DispatchCore room = new DispatchCore(
                config.settings(),
                7,
                () -> now,
                wheel,
                counters,
                new DispatchCore.Bounds(1000, 1 << 24, JOBS, 1 << 24),
                log::add);
        LoopContext kit = new LoopContext(loop, () -> now, wheel, counters, log::add);
        Platform platform = new Platform(config, room, kit, loop::lagMs);
        GearmanFront door = new GearmanFront(config, "0", room, kit, () -> {});
        front = loop.listen(anywhere(), platform::accept, 100, () -> false).address();
        gearman = loop.listen(anywhere(), door::accept, 100, () -> false).address();
        platform.begin();
        for (int i = 0; i < 10; i++) {
            loop.dial(gearman, w -> new Worker().on(w));
            loop.dial(front, w -> new Desk().on(w));
            loop.dial(gearman, w -> new Client().on(w));
        }
        for (int turns = 0; (begun < JOBS || open > 0) && turns < 2_000_000; turns++) {
            loop.turn(0);
            now += TURN_MS;
        }
        loop.run(() -> true);

        assertThat(log).filteredOn(l -> l.contains("fault")).isEmpty();
        assertThat(open).as("jobs without an answer").isZero();
        assertThat(answers).hasSize(JOBS);
        assertThat(answers.values()).as("answers a job").containsOnly(1);
        assertThat(runs.entrySet().stream().filter(e -> cls(e.getKey()).equals("pickup-order") && e.getValue() > 1))
                .as("orders that ran twice")
                .isEmpty();
        assertThat(counters.of("guard.unanswered") + counters.of("guard.repeat"))
                .isZero();
        assertThat(List.of(
                        "node drops", "worker drops", "desk hangs up", "client resubmits", "resubmits of what is done"))
                .allMatch(what -> seen.of(what) > 20);
        assertThat(counters.of("jobs.joined")).isPositive();
        assertThat(runs.values().stream().filter(n -> n > 1))
                .as("route plans that went again")
                .isNotEmpty();
        assertThat(outcomes.values().stream()
                        .filter(o -> o.startsWith("did ") || o.equals("200"))
                        .count())
                .as("served")
                .isGreaterThan(JOBS * 9 / 10);
    }
}
