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

/** Edge cases of the Gearman front, in memory: wake-ups, flapping and returning workers, floods, hostile input. */
class GearmanEdgeCasesTest {
    private static GearmanConfig config(double holdMs, int openJobs) {
        GearmanConfig.Limits defaults = GearmanConfig.Limits.DEFAULT;
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
                        defaults.packetBytes(),
                        defaults.readingBytes(),
                        0,
                        defaults.functions(),
                        0,
                        defaults.jobsPerClient(),
                        10,
                        defaults.scheduledBytes(),
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

    /** The peers of one scenario, which send and read packets. */
    private static final class Peers {
        final Rig rig;
        final Map<String, PacketReader> readers = new HashMap<>();

        Peers(Scenario scenario) {
            rig = scenario.scriptRig();
        }

        void send(String peer, Type type, Object... arguments) {
            for (ByteBuffer buffer : Packet.encode(Packet.REQUEST, type, arguments)) {
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                rig.send(peer, bytes);
            }
        }

        List<Packet> read(String peer) {
            byte[] bytes = rig.receive(peer, 0);
            List<Packet> packets = new ArrayList<>();
            ByteBuffer input = ByteBuffer.wrap(bytes == null ? new byte[0] : bytes);
            PacketReader reader =
                    readers.computeIfAbsent(peer, name -> new PacketReader(Packet.RESPONSE, false, 1 << 24));
            try {
                for (Packet packet = reader.next(input); packet != null; packet = reader.next(input)) {
                    packets.add(packet);
                }
            } catch (PacketReader.BadPacket e) {
                throw new AssertionError(e);
            }
            return packets;
        }
    }

    /** A worker that follows the protocol, one packet at a time. */
    private static final class SimulatedWorker {
        private final Peers peers;
        /** 0 not connected, 1 about to grab, 2 waits for the answer, 3 asleep, 4 has a job, 5 got NO_JOB. */
        private int state;

        private Packet job;
        int completed;

        SimulatedWorker(Peers peers) {
            this.peers = peers;
        }

        /** Takes the next step. Returns false if there is nothing to do. */
        boolean step() {
            for (Packet packet : state == 0 ? List.<Packet>of() : peers.read("w")) {
                state = switch (packet.type()) {
                    case NOOP -> state == 3 ? 1 : state; // a NOOP that crosses another packet is ignored
                    case NO_JOB -> 5;
                    case JOB_ASSIGN -> {
                        job = packet;
                        yield 4;
                    }
                    default -> throw new AssertionError(packet);
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
                    peers.send("w", Type.WORK_COMPLETE, job.arguments().get(0), "r");
                    completed++;
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

    /** No wake-up may be lost: two jobs that arrive at any two steps of a worker are both done without delay. */
    @Test
    void noWakeUpIsLostInAnyOrderOfEvents() {
        int cases = 0;
        for (double holdMs : new double[] {0, 10}) {
            for (double gapMs : new double[] {0, 4, 12}) {
                for (int first = 0; first <= 9; first++) {
                    for (int second = first; second <= 9; second++) {
                        cases++;
                        Scenario scenario = scenario(0, holdMs, 64);
                        Peers peers = new Peers(scenario);
                        SimulatedWorker worker = new SimulatedWorker(peers);
                        for (int step = 0; step <= 9; step++) {
                            for (int n = (step == first ? 1 : 0) + (step == second ? 1 : 0); n > 0; n--) {
                                peers.send("c", Type.SUBMIT_JOB, "route-plan", "", "x");
                            }
                            worker.step();
                            peers.rig.advance(gapMs);
                        }
                        for (int i = 0; i < 30 && worker.completed < 2; i++) {
                            if (!worker.step()) {
                                peers.rig.advance(2);
                            }
                        }
                        assertThat(worker.completed)
                                .as("jobs at %d and %d, hold %s, gap %s", first, second, holdMs, gapMs)
                                .isEqualTo(2);
                        assertThat(scenario.counters.get("gearman.not_grabbed")).isZero();
                    }
                }
            }
        }
        assertThat(cases).isEqualTo(330);
    }

    /** A worker that reconnects under its client id gets work at once; a new one is cold and does not. */
    @Test
    void returningWorkerIsNotColdAgain() {
        Scenario scenario = scenario(4000, 0, 64).play("""
            plug9 send SET_CLIENT_ID|van
            plug9 send CAN_DO|route-plan
            plug9 send PRE_SLEEP
            wait 4100
            plug9 close
            wait 1000
            """);
        scenario.play("""
            plug8 send SET_CLIENT_ID|van
            plug8 send CAN_DO|route-plan
            plug8 send PRE_SLEEP
            plug1 send SUBMIT_JOB|route-plan||x
            plug1 expect JOB_CREATED|*
            plug8 expect NOOP
            """);
        scenario = scenario(4000, 0, 64).play("""
            plug9 send SET_CLIENT_ID|van
            plug9 send CAN_DO|route-plan
            plug9 send PRE_SLEEP
            plug1 send SUBMIT_JOB|route-plan||x
            plug1 expect JOB_CREATED|*
            plug9 expect nothing
            """);
    }

    /** A flapping worker must not delay jobs: each time it leaves a job ungrabbed it is listed again later. */
    @Test
    void flappingWorkerIsListedLaterEachTime() {
        Scenario scenario =
                scenario(0, 0, 64).play("plug1 send SUBMIT_JOB|pickup-order||x\nplug1 expect JOB_CREATED|*");
        String connect = """
            plug9 send SET_CLIENT_ID|flap
            plug9 send CAN_DO|pickup-order
            plug9 send PRE_SLEEP
            """;
        scenario.play(connect + "plug9 expect NOOP\nplug9 close\n" + connect + "plug9 expect nothing\nplug9 close");
        assertThat(scenario.counters.get("attempts.connect_failed")).isEqualTo(1);
        scenario.play("wait 600\n" + connect + "wait 110\nplug9 expect NOOP\nplug9 close\n" + connect
                + "wait 110\nplug9 expect nothing\nplug9 close");
        assertThat(scenario.counters.get("attempts.connect_failed")).isEqualTo(2);
        scenario.play("""
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

    /** A connected worker that never grabs delays only one job, by a second, until it grabs again. */
    @Test
    void workerThatNeverGrabsGetsOneJob() {
        Scenario scenario = scenario(0, 0, 64).play("plug9 send CAN_DO|route-plan\nplug9 send PRE_SLEEP");
        for (int i = 0; i < 20; i++) {
            scenario.play("plug1 send SUBMIT_JOB_BG|route-plan||x\nplug1 expect JOB_CREATED|*");
        }
        scenario.play("wait 5000");
        assertThat(scenario.counters.get("attempts.out")).isEqualTo(1);
        assertThat(scenario.counters.get("gearman.not_grabbed")).isEqualTo(1);
        scenario.play("plug9 send GRAB_JOB\nwait 100");
        assertThat(scenario.counters.get("attempts.out"))
                .as("its grab shows that it is alive")
                .isGreaterThan(1);
    }

    /** 100,000 background jobs may be open at once; one more is rejected, and all get done. */
    @Test
    void hundredThousandBackgroundJobsComplete() {
        Scenario scenario = scenario(0, 10, 100_000);
        Peers peers = new Peers(scenario);
        for (int i = 0; i < 100_000; i++) {
            peers.send("c" + i % 2, Type.SUBMIT_JOB_BG, "route-plan", "", "");
            assertThat(peers.read("c" + i % 2).get(0).type()).isEqualTo(Type.JOB_CREATED);
        }
        peers.send("c", Type.SUBMIT_JOB_BG, "route-plan", "", "");
        assertThat(peers.read("c"))
                .singleElement()
                .satisfies(p -> assertThat(p.text(0)).isEqualTo("full"));
        SimulatedWorker worker = new SimulatedWorker(peers);
        for (int i = 0; worker.completed < 100_000 && i < 400_000; i++) {
            worker.step();
        }
        assertThat(worker.completed).isEqualTo(100_000);
        assertThat(scenario.core.openJobCount()).isZero();
    }

    /** A list of many jobs is written in full, in chunks, and the connection then answers further commands. */
    @Test
    void longListIsWrittenInChunks() {
        Scenario scenario = scenario(0, 0, 20_000);
        Peers peers = new Peers(scenario);
        for (int i = 0; i < 20_000; i++) {
            peers.send("c", Type.SUBMIT_JOB_BG, "route-plan", "", "");
            peers.read("c");
        }
        peers.rig.send("a", "show jobs\n".getBytes(StandardCharsets.US_ASCII));
        String list = new String(peers.rig.receive("a", 0), StandardCharsets.US_ASCII);
        assertThat(list.lines().count()).isEqualTo(20_001);
        assertThat(list).endsWith("\n.\n");
        peers.rig.send("a", "version\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(new String(peers.rig.receive("a", 0), StandardCharsets.US_ASCII))
                .startsWith("OK ");
    }

    /** 5,000 workers can connect within a second of the clock, and each gets one wake-up for 5,000 jobs. */
    @Test
    void fiveThousandWorkersConnectWithinASecond() {
        Scenario scenario = scenario(1000, 0, 6000);
        Peers peers = new Peers(scenario);
        for (int i = 0; i < 5000; i++) {
            peers.send("plug-w" + i, Type.CAN_DO, "route-plan");
            peers.send("plug-w" + i, Type.PRE_SLEEP);
            if (i % 10 == 0) {
                peers.rig.advance(2);
            }
        }
        for (int i = 0; i < 5000; i++) {
            peers.send("c", Type.SUBMIT_JOB, "route-plan", "", "x");
            peers.read("c");
        }
        peers.rig.advance(1500);
        int woken = 0;
        for (int i = 0; i < 5000; i++) {
            woken += peers.read("plug-w" + i).size();
        }
        assertThat(woken).as("a wake-up for each job and no more").isEqualTo(5000);
    }

    /** Headers that announce large bodies must not use up memory: only received bytes count, over all readers. */
    @Test
    void unfinishedPacketsShareABudget() {
        PacketReader.Budget budget = new PacketReader.Budget(10_000);
        PacketReader first = new PacketReader(Packet.REQUEST, true, 1 << 20, budget);
        PacketReader second = new PacketReader(Packet.REQUEST, true, 1 << 20, budget);
        ByteBuffer head =
                ByteBuffer.allocate(12).putInt(Packet.REQUEST).putInt(16).putInt(900_000);
        assertThat(errorCodes(first, head.flip().array())).isEmpty();
        assertThat(budget.reservedBytes())
                .as("received bytes count, not the announced size")
                .isEqualTo(4096);
        assertThat(errorCodes(second, head.array())).isEmpty();
        assertThat(errorCodes(first, new byte[7000])).containsExactly("memory");
        assertThat(budget.reservedBytes()).isEqualTo(4096);
        second.release();
        assertThat(budget.reservedBytes()).isZero();
        assertThat(errorCodes(first, new byte[893_000])).isEmpty();
        assertThat(first.inProgress()).as("the rest of the packet is skipped").isFalse();
    }

    private static List<String> errorCodes(PacketReader reader, byte[] bytes) {
        List<String> codes = new ArrayList<>();
        ByteBuffer input = ByteBuffer.wrap(bytes);
        while (input.hasRemaining()) {
            try {
                reader.next(input);
            } catch (PacketReader.BadPacket e) {
                codes.add(e.code());
                if (e.fatal()) {
                    return codes;
                }
            }
        }
        return codes;
    }

    /** Mutated packets cause no fault and violate no rule of the dispatch guard, and another client's job is still assigned. */
    @Property(tries = 400, seed = "400")
    void mutatedPacketsDoNotAffectOtherClients(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int packets) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        Scenario scenario = scenario(0, 0, 64);
        Peers peers = new Peers(scenario);
        peers.send("good", Type.SUBMIT_JOB, "pickup-order", "", "towels");
        String handle = peers.read("good").get(0).text(0);
        for (int i = 0; i < packets; i++) {
            Type type = Type.values()[random.nextInt(Type.values().length)];
            Object[] arguments = new Object[random.nextInt(8) == 0 ? random.nextInt(9) : type.argumentCount()];
            for (int a = 0; a < arguments.length; a++) {
                arguments[a] = List.of("route-plan", "", handle, "12", "u", "exceptions", "-", "1.5", "x".repeat(300))
                        .get(random.nextInt(9));
            }
            if (type.name().startsWith("SUBMIT")) {
                arguments = new Object[] {"route-plan"
                }; // valid jobs would reach the worker as well, so only malformed ones
            }
            byte[] bytes = concatenate(Packet.encode(Packet.REQUEST, type, arguments));
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
        assertThat(scenario.log).noneMatch(l -> l.contains("fault"));
        assertThat(scenario.core.openJobCount()).isPositive();
        assertThat(scenario.counters.toString()).doesNotContain("guard.");
    }

    /** Any bytes give the same packets, lines and errors whole or in chunks, and no budget stays reserved. */
    @Property(tries = 500, seed = "500")
    void splitInputIsReadLikeWholeInput(@ForAll byte[] bytes, @ForAll @IntRange(min = 1, max = 7) int chunkSize) {
        PacketReader.Budget budget = new PacketReader.Budget(1 << 16);
        PacketReader whole = new PacketReader(Packet.REQUEST, true, 4096, budget);
        PacketReader pieces = new PacketReader(Packet.REQUEST, true, 4096, budget);
        List<String> inPieces = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += chunkSize) {
            List<String> chunk = readAll(
                    pieces, java.util.Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + chunkSize)));
            inPieces.addAll(chunk);
            if (!chunk.isEmpty() && chunk.get(chunk.size() - 1).startsWith("!")) {
                break;
            }
        }
        assertThat(readAll(whole, bytes)).isEqualTo(inPieces);
        whole.release();
        pieces.release();
        assertThat(budget.reservedBytes()).isZero();
    }

    private static List<String> readAll(PacketReader reader, byte[] bytes) {
        List<String> results = new ArrayList<>();
        ByteBuffer input = ByteBuffer.wrap(bytes);
        while (input.hasRemaining()) {
            try {
                Packet packet = reader.next(input);
                String line = packet == null ? reader.takeLine() : null;
                if (packet != null || line != null) {
                    results.add(packet == null ? line : packet.type().name());
                }
            } catch (PacketReader.BadPacket e) {
                results.add((e.fatal() ? "!" : "?") + e.code());
                if (e.fatal()) {
                    return results;
                }
            }
        }
        return results;
    }

    private static byte[] concatenate(ByteBuffer[] parts) {
        java.io.ByteArrayOutputStream joined = new java.io.ByteArrayOutputStream();
        for (ByteBuffer part : parts) {
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            joined.writeBytes(bytes);
        }
        return new String(joined.toByteArray(), StandardCharsets.ISO_8859_1).getBytes(StandardCharsets.ISO_8859_1);
    }
}
