package plumpost.gearman;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.config.GearmanConfig;
import plumpost.gearman.Packet.Type;
import plumpost.lab.script.Rig;

/** Hard cases of the Gearman front, in memory: wake-ups, flapping, returns, floods and hostile bytes. */
class HardCasesTest {
    private static GearmanConfig config(double holdMs, int openJobs) {
        GearmanConfig.Limits u = GearmanConfig.Limits.USUAL;
        return new GearmanConfig(
                null,
                0,
                0,
                List.of(),
                3_600_000,
                30_000,
                holdMs,
                Set.of(),
                new GearmanConfig.Limits(
                        u.packetBytes(),
                        u.readingBytes(),
                        0,
                        u.functions(),
                        0,
                        u.jobsPerClient(),
                        10,
                        u.scheduledBytes(),
                        openJobs,
                        0,
                        0));
    }

    private static Scenario scenario(double coldMs, double holdMs, int openJobs) {
        return new Scenario(
                0,
                Scenario.SETTINGS.replace("\"coldMs\":400.0", "\"coldMs\":" + coldMs),
                1024,
                config(holdMs, openJobs),
                openJobs);
    }

    /** Peers of one scenario that send packets and read them. */
    private static final class Peers {
        final Rig rig;
        final Map<String, PacketReader> readers = new HashMap<>();

        Peers(Scenario s) {
            rig = s.rig();
        }

        void send(String who, Type type, Object... arguments) {
            for (ByteBuffer b : Packet.bytes(Packet.REQUEST, type, arguments)) {
                byte[] all = new byte[b.remaining()];
                b.get(all);
                rig.send(who, all);
            }
        }

        List<Packet> read(String who) {
            byte[] all = rig.take(who, 0);
            List<Packet> packets = new ArrayList<>();
            ByteBuffer in = ByteBuffer.wrap(all == null ? new byte[0] : all);
            PacketReader r = readers.computeIfAbsent(who, w -> new PacketReader(Packet.RESPONSE, false, 1 << 24));
            try {
                for (Packet p = r.next(in); p != null; p = r.next(in)) {
                    packets.add(p);
                }
            } catch (PacketReader.BadPacket e) {
                throw new AssertionError(e);
            }
            return packets;
        }
    }

    /** A worker that does as the protocol's text says, a packet at a time. */
    private static final class Automaton {
        private final Peers peers;
        private int state; // 0 not there, 1 to grab, 2 waits for the grab's answer, 3 sleeps, 4 has a job
        private Packet job;
        int done;

        Automaton(Peers peers) {
            this.peers = peers;
        }

        /** Takes its next step; false if there is nothing to do. */
        boolean step() {
            for (Packet p : state == 0 ? List.<Packet>of() : peers.read("w")) {
                state = switch (p.type()) {
                    case NOOP -> state == 3 ? 1 : state; // a NOOP that crosses anything else means nothing
                    case NO_JOB -> 5;
                    case JOB_ASSIGN -> {
                        job = p;
                        yield 4;
                    }
                    default -> throw new AssertionError(p);
                };
            }
            switch (state) {
                case 0 -> {
                    peers.send("w", Type.CAN_DO, "route-plan");
                    state = 1;
                }
                case 1 -> {
                    peers.send("w", Type.GRAB_JOB);
                    state = 2;
                }
                case 4 -> {
                    peers.send("w", Type.WORK_COMPLETE, job.parts().get(0), "r");
                    done++;
                    state = 1;
                }
                case 5 -> {
                    peers.send("w", Type.PRE_SLEEP);
                    state = 3;
                }
                default -> {
                    return false;
                }
            }
            return true;
        }
    }

    /** Guards against a lost wake-up: two jobs that come at any two points of a worker's life are both done at once. */
    @Test
    void noWakeUpIsLostInAnyOrderOfEvents() {
        int orders = 0;
        for (double hold : new double[] {0, 10}) {
            for (double gap : new double[] {0, 4, 12}) {
                for (int first = 0; first <= 9; first++) {
                    for (int second = first; second <= 9; second++) {
                        orders++;
                        Scenario s = scenario(0, hold, 64);
                        Peers peers = new Peers(s);
                        Automaton worker = new Automaton(peers);
                        for (int step = 0; step <= 9; step++) {
                            for (int n = (step == first ? 1 : 0) + (step == second ? 1 : 0); n > 0; n--) {
                                peers.send("c", Type.SUBMIT_JOB, "route-plan", "", "x");
                            }
                            worker.step();
                            peers.rig.pass(gap);
                        }
                        for (int i = 0; i < 30 && worker.done < 2; i++) {
                            if (!worker.step()) {
                                peers.rig.pass(2);
                            }
                        }
                        assertThat(worker.done)
                                .as("jobs at %d and %d, hold %s, gap %s", first, second, hold, gap)
                                .isEqualTo(2);
                        assertThat(s.counters.of("gearman.not_grabbed")).isZero();
                    }
                }
            }
        }
        assertThat(orders).isEqualTo(330);
    }

    /** Guards warmth: a worker that comes back under its client id is given work at once, a stranger is not. */
    @Test
    void aWorkerThatComesBackIsNotColdAgain() {
        Scenario s = scenario(4000, 0, 64).play("""
            plug9 send SET_CLIENT_ID|van
            plug9 send CAN_DO|route-plan
            plug9 send PRE_SLEEP
            wait 4100
            plug9 close
            wait 1000
            """);
        s.play("""
            plug8 send SET_CLIENT_ID|van
            plug8 send CAN_DO|route-plan
            plug8 send PRE_SLEEP
            plug1 send SUBMIT_JOB|route-plan||x
            plug1 expect JOB_CREATED|*
            plug8 expect NOOP
            """);
        s = scenario(4000, 0, 64).play("""
            plug9 send SET_CLIENT_ID|van
            plug9 send CAN_DO|route-plan
            plug9 send PRE_SLEEP
            plug1 send SUBMIT_JOB|route-plan||x
            plug1 expect JOB_CREATED|*
            plug9 expect nothing
            """);
    }

    /** Guards jobs from a worker that flaps: each time it leaves a job ungrabbed it is taken back later. */
    @Test
    void aWorkerThatFlapsCostsLessAndLess() {
        Scenario s = scenario(0, 0, 64).play("plug1 send SUBMIT_JOB|pickup-order||x\nplug1 expect JOB_CREATED|*");
        String come = """
            plug9 send SET_CLIENT_ID|flap
            plug9 send CAN_DO|pickup-order
            plug9 send PRE_SLEEP
            """;
        s.play(come + "plug9 expect NOOP\nplug9 close\n" + come + "plug9 expect nothing\nplug9 close");
        assertThat(s.counters.of("attempts.connect_failed")).isEqualTo(1);
        s.play("wait 600\n" + come + "wait 110\nplug9 expect NOOP\nplug9 close\n" + come
                + "wait 110\nplug9 expect nothing\nplug9 close");
        assertThat(s.counters.of("attempts.connect_failed")).isEqualTo(2);
        s.play("""
            plug8 send SET_CLIENT_ID|good
            plug8 send CAN_DO|pickup-order
            plug8 send PRE_SLEEP
            wait 100
            plug8 expect NOOP
            plug8 send GRAB_JOB
            plug8 expect JOB_ASSIGN|H:t:*|pickup-order|x
            plug8 send WORK_COMPLETE|$|van
            plug1 expect WORK_COMPLETE|*|van
            """);
    }

    /** Guards other jobs from a worker that is there and never grabs: it costs one job a second, once. */
    @Test
    void aWorkerThatNeverGrabsGetsOneJob() {
        Scenario s = scenario(0, 0, 64).play("plug9 send CAN_DO|route-plan\nplug9 send PRE_SLEEP");
        for (int i = 0; i < 20; i++) {
            s.play("plug1 send SUBMIT_JOB_BG|route-plan||x\nplug1 expect JOB_CREATED|*");
        }
        s.play("wait 5000");
        assertThat(s.counters.of("attempts.out")).isEqualTo(1);
        assertThat(s.counters.of("gearman.not_grabbed")).isEqualTo(1);
        s.play("plug9 send GRAB_JOB\nwait 100");
        assertThat(s.counters.of("attempts.out"))
                .as("its grab shows that it is there")
                .isGreaterThan(1);
    }

    /** Guards memory and time with 100,000 background jobs at once, which all get done in their order. */
    @Test
    void aHundredThousandBackgroundJobsAtOnce() {
        Scenario s = scenario(0, 10, 100_000);
        Peers peers = new Peers(s);
        for (int i = 0; i < 100_000; i++) {
            peers.send("c" + i % 2, Type.SUBMIT_JOB_BG, "route-plan", "", "");
            assertThat(peers.read("c" + i % 2).get(0).type()).isEqualTo(Type.JOB_CREATED);
        }
        peers.send("c", Type.SUBMIT_JOB_BG, "route-plan", "", "");
        assertThat(peers.read("c"))
                .singleElement()
                .satisfies(p -> assertThat(p.text(0)).isEqualTo("full"));
        Automaton worker = new Automaton(peers);
        for (int i = 0; worker.done < 100_000 && i < 400_000; i++) {
            worker.step();
        }
        assertThat(worker.done).isEqualTo(100_000);
        assertThat(s.room.open()).isZero();
    }

    /** Guards the list of a full ledger: it comes whole, in pieces, and a second one at the same time is told to wait. */
    @Test
    void aLongListComesInPieces() {
        Scenario s = scenario(0, 0, 20_000);
        Peers peers = new Peers(s);
        for (int i = 0; i < 20_000; i++) {
            peers.send("c", Type.SUBMIT_JOB_BG, "route-plan", "", "");
            peers.read("c");
        }
        peers.rig.send("a", "show jobs\n".getBytes(StandardCharsets.US_ASCII));
        String all = new String(peers.rig.take("a", 0), StandardCharsets.US_ASCII);
        assertThat(all.lines().count()).isEqualTo(20_001);
        assertThat(all).endsWith("\n.\n");
        peers.rig.send("a", "version\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(new String(peers.rig.take("a", 0), StandardCharsets.US_ASCII))
                .startsWith("OK ");
    }

    /** Guards the cost of a newcomer: 5,000 workers come within a second of the clock, and work is given to them. */
    @Test
    void fiveThousandWorkersComeWithinASecond() {
        Scenario s = scenario(1000, 0, 6000);
        Peers peers = new Peers(s);
        for (int i = 0; i < 5000; i++) {
            peers.send("plug-w" + i, Type.CAN_DO, "route-plan");
            peers.send("plug-w" + i, Type.PRE_SLEEP);
            if (i % 10 == 0) {
                peers.rig.pass(2);
            }
        }
        for (int i = 0; i < 5000; i++) {
            peers.send("c", Type.SUBMIT_JOB, "route-plan", "", "x");
            peers.read("c");
        }
        peers.rig.pass(1500);
        int woken = 0;
        for (int i = 0; i < 5000; i++) {
            woken += peers.read("plug-w" + i).size();
        }
        assertThat(woken).as("a wake-up for each job and no more").isEqualTo(5000);
    }

    /** Guards memory against heads that claim much: what came counts, over all connections, and the rest is passed over. */
    @Test
    void packetsUnderWayShareABudget() {
        PacketReader.Budget budget = new PacketReader.Budget(10_000);
        PacketReader a = new PacketReader(Packet.REQUEST, true, 1 << 20, budget);
        PacketReader b = new PacketReader(Packet.REQUEST, true, 1 << 20, budget);
        ByteBuffer head =
                ByteBuffer.allocate(12).putInt(Packet.REQUEST).putInt(16).putInt(900_000);
        assertThat(feed(a, head.flip().array())).isEmpty();
        assertThat(budget.held()).as("what came counts, not what is claimed").isEqualTo(4096);
        assertThat(feed(b, head.array())).isEmpty();
        assertThat(feed(a, new byte[7000])).containsExactly("memory");
        assertThat(budget.held()).isEqualTo(4096);
        b.end();
        assertThat(budget.held()).isZero();
        assertThat(feed(a, new byte[893_000])).isEmpty();
        assertThat(a.midway()).as("the rest of it is passed over").isFalse();
    }

    private static List<String> feed(PacketReader r, byte[] bytes) {
        List<String> codes = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.hasRemaining()) {
            try {
                r.next(in);
            } catch (PacketReader.BadPacket e) {
                codes.add(e.code());
                if (e.fatal()) {
                    return codes;
                }
            }
        }
        return codes;
    }

    /** Guards the doors against mutated packets: no fault is counted, and another client's job goes through. */
    @Property(tries = 400, seed = "400")
    void mutatedPacketsCostOthersNothing(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int packets) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        Scenario s = scenario(0, 0, 64);
        Peers peers = new Peers(s);
        peers.send("good", Type.SUBMIT_JOB, "pickup-order", "", "towels");
        String handle = peers.read("good").get(0).text(0);
        for (int i = 0; i < packets; i++) {
            Type type = Type.values()[random.nextInt(Type.values().length)];
            Object[] arguments = new Object[random.nextInt(8) == 0 ? random.nextInt(9) : type.arguments()];
            for (int a = 0; a < arguments.length; a++) {
                arguments[a] = List.of("route-plan", "", handle, "12", "u", "exceptions", "-", "1.5", "x".repeat(300))
                        .get(random.nextInt(9));
            }
            if (type.name().startsWith("SUBMIT")) {
                arguments = new Object[] {"route-plan"}; // its own jobs would be the worker's too: malformed ones only
            }
            byte[] bytes = one(Packet.bytes(Packet.REQUEST, type, arguments));
            for (int flips = random.nextInt(3); flips > 0 && bytes.length > 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            peers.rig.send("plug-bad" + random.nextInt(3), bytes);
        }
        peers.send("w", Type.CAN_DO, "pickup-order");
        peers.send("w", Type.GRAB_JOB);
        assertThat(peers.read("w")).first().satisfies(p -> {
            assertThat(p.type()).isEqualTo(Type.JOB_ASSIGN);
            assertThat(p.text(0)).isEqualTo(handle);
        });
        assertThat(s.log).noneMatch(l -> l.contains("fault"));
        assertThat(s.room.open()).isPositive();
        assertThat(s.counters.toString()).doesNotContain("guard.");
    }

    /** Guards the reader against any bytes, cut anywhere: it tells packets, lines or what is bad, and holds no more. */
    @Property(tries = 500, seed = "500")
    void anyBytesCutAnywhereReadTheSame(@ForAll byte[] bytes, @ForAll @IntRange(min = 1, max = 7) int cut) {
        PacketReader.Budget budget = new PacketReader.Budget(1 << 16);
        PacketReader whole = new PacketReader(Packet.REQUEST, true, 4096, budget);
        PacketReader pieces = new PacketReader(Packet.REQUEST, true, 4096, budget);
        List<String> inPieces = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += cut) {
            List<String> some = told(pieces, java.util.Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + cut)));
            inPieces.addAll(some);
            if (!some.isEmpty() && some.get(some.size() - 1).startsWith("!")) {
                break;
            }
        }
        assertThat(told(whole, bytes)).isEqualTo(inPieces);
        whole.end();
        pieces.end();
        assertThat(budget.held()).isZero();
    }

    private static List<String> told(PacketReader r, byte[] bytes) {
        List<String> told = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.hasRemaining()) {
            try {
                Packet p = r.next(in);
                String line = p == null ? r.line() : null;
                if (p != null || line != null) {
                    told.add(p == null ? line : p.type().name());
                }
            } catch (PacketReader.BadPacket e) {
                told.add((e.fatal() ? "!" : "?") + e.code());
                if (e.fatal()) {
                    return told;
                }
            }
        }
        return told;
    }

    private static byte[] one(ByteBuffer[] parts) {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (ByteBuffer b : parts) {
            byte[] some = new byte[b.remaining()];
            b.get(some);
            all.writeBytes(some);
        }
        return new String(all.toByteArray(), StandardCharsets.ISO_8859_1).getBytes(StandardCharsets.ISO_8859_1);
    }
}
