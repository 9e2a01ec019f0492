package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** One-way cuts, deleted and foreign data directories, a full disk, lost majorities and discovery. */
@Timeout(240)
class FleetFaultsIT extends FleetTestBase {

    /**
     * Guards against a late action: an owner that still receives but whose sends are cut fires due jobs. Its entries stay in
     * the network until another process owns the duty, and are then refused by their fence when they are applied.
     */
    @Test
    void whatAnUnheardOwnerDidIsRefusedWhenItArrivesLate() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        SchedulerProcess owner = moveScheduleOffLeader();
        long before = fence();
        long due = System.currentTimeMillis() / 1000 + 4;
        List<String> keys = submitScheduledAt(30, "order-it", "o", due);
        assertThat(keys).isNotEmpty();
        // The sends are cut half a second before the jobs are due, so the owner fires them within its lease of a
        // second.
        Thread.sleep(Math.max(0, due * 1000 - 500 - System.currentTimeMillis()));
        lab.cutOff(owner.name(), true, false, true);
        awaitUntil(
                "another owns it",
                () -> lab.processes().stream()
                        .anyMatch(process -> process != owner
                                && lab.history().ofKind("log").stream()
                                        .anyMatch(event -> event.source().equals(process.name())
                                                && event.text().contains("schedule under fence")
                                                && event.text().contains(process.name() + "'s, incarnation")
                                                && event.text().contains("was " + owner.name() + "'s"))));
        double healedAtMs = lab.history().nowMs();
        lab.cutOff(owner.name(), true, false, false);
        awaitLogLine(
                lab.processes().stream()
                        .filter(process -> process != owner)
                        .findFirst()
                        .orElseThrow(),
                healedAtMs,
                "refused Fire: fence " + before + " of schedule is old");
        awaitJoined(owner, healedAtMs);
        assertThat(fence()).isGreaterThan(before);
        assertEachRanOnceOrWasGivenUp(keys);
    }

    /** Guards against an owner that sends but receives nothing: it stops by itself, and another takes over its duty. */
    @Test
    void anOwnerThatHearsNothingIsReplaced() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        SchedulerProcess owner = moveScheduleOffLeader();
        double cutAtMs = lab.history().nowMs();
        lab.cutOff(owner.name(), false, true, true);
        awaitLogLine(owner, cutAtMs, "does no fleet duty and serves on by itself");
        SchedulerProcess other = lab.processes().stream()
                .filter(process -> process != owner)
                .findFirst()
                .orElseThrow();
        awaitUntil("another owns it", () -> {
            String now = FleetLab.ownerOf(lab.show(other), "schedule");
            return !now.isEmpty() && !now.equals(owner.name());
        });
        assertScheduledIsRefused(owner, "nobody");
        awaitUntil(
                "the others take it",
                () -> LabWorkers.submitScheduled(other, lab.history(), "order-it", "other", 1) != null);
        assertEachRanOnce(List.of("other"));
        double healedAtMs = lab.history().nowMs();
        lab.cutOff(owner.name(), false, true, false);
        awaitJoined(owner, healedAtMs);
    }

    /** Guards against a voter with a deleted disk and a majority that is lost and returns: no agreed record is lost. */
    @Test
    void aWipedVoterComesBackAsAnotherAndALostMajorityReturns() throws Exception {
        startFleet(3, 0, 3, "");
        List<String> keys = submitScheduled(12, "order-it", "o", 1000);
        assertThat(keys).hasSize(12);
        SchedulerProcess wiped = lab.process("s2");
        double killedAtMs = lab.history().nowMs();
        wiped.signal("KILL");
        assertThat(wiped.awaitExit(TIMEOUT_MS)).isTrue();
        wiped.deleteData();
        wiped.start();
        awaitLogLine(wiped, killedAtMs, "joining lab through");
        awaitLogLine(wiped, killedAtMs, "fleet: member s2.");
        awaitLogLine(wiped, killedAtMs, "takes part");
        killedAtMs = lab.history().nowMs();
        for (String name : List.of("s1", "s3")) {
            lab.process(name).signal("KILL");
            assertThat(lab.process(name).awaitExit(TIMEOUT_MS)).isTrue();
        }
        awaitLogLine(wiped, killedAtMs, "does no fleet duty and serves on by itself");
        assertScheduledIsRefused(wiped, "alone");
        lab.process("s3").start();
        awaitJoined(lab.process("s3"), killedAtMs);
        startWorkers(1, "order-it");
        assertEachRanOnce(keys);
        lab.process("s1").start();
        awaitJoined(lab.process("s1"), killedAtMs);
        lab.runCommand(lab.process("s3"), "remove", "s1");
        awaitLogLine(lab.process("s1"), killedAtMs, "takes part no longer");
        assertThat(FleetLab.memberState(lab.show(lab.process("s3")), "s1")).isEqualTo("removed");
    }

    /** Guards the data directory against a second process, another scheduler, another fleet and an unknown format. */
    @Test
    void aDirectoryOfAnotherIsRefused() throws Exception {
        startFleet(1, 0, 1, "");
        SchedulerProcess scheduler = lab.processes().get(0);
        Path identity = scheduler.dataDirectory().resolve("member.json");
        String text = Files.readString(identity);
        assertThat(startAndExpectRefusal(scheduler)).contains("belongs to another process");
        scheduler.signal("TERM");
        assertThat(scheduler.awaitExit(TIMEOUT_MS)).isTrue();
        Files.writeString(identity, text.replace("\"lab\"", "\"other\""));
        assertThat(startAndExpectRefusal(scheduler)).contains("field group is other, the configuration says lab");
        Files.writeString(identity, text.replace("\"s1\"", "\"s9\""));
        assertThat(startAndExpectRefusal(scheduler)).contains("field name is s9");
        Files.writeString(identity, text.replaceFirst("\"format\":[0-9]+", "\"format\":99"));
        assertThat(startAndExpectRefusal(scheduler)).contains("field format is 99, this program reads 1 to ");
        Files.writeString(identity, text);
        double restartedAtMs = lab.history().nowMs();
        scheduler.start();
        awaitJoined(scheduler, restartedAtMs);
        scheduler.signal("KILL");
        assertThat(scheduler.awaitExit(TIMEOUT_MS)).isTrue();
        Files.move(scheduler.dataDirectory().resolve("log"), directory.resolve("log-that-was"));
        restartedAtMs = lab.history().nowMs();
        scheduler.start();
        awaitLogLine(scheduler, restartedAtMs, "it must not vote with what it forgot");
    }

    private String startAndExpectRefusal(SchedulerProcess scheduler) throws Exception {
        Process process = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-jar",
                        "target/plumpost.jar",
                        "serve",
                        "--config",
                        directory.resolve(scheduler.name() + ".json").toString())
                .start();
        try {
            String output =
                    new String(process.getErrorStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertThat(process.waitFor()).isEqualTo(2);
            return output;
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards discovery: one member asks for its site and the others follow it; a member that is cut off asks itself. */
    @Test
    void oneAsksDiscoveryAndNobodyDependsOnIt() throws Exception {
        try (DiscoveryStub discovery = new DiscoveryStub(5)) {
            startFleet(3, 0, 1, "\"discovery\": \"127.0.0.1:" + discovery.port() + "\", ");
            awaitUntil("all know the list", () -> {
                for (SchedulerProcess process : lab.processes()) {
                    if (readCounter(process, "discovered") != 5) {
                        return false;
                    }
                }
                return true;
            });
            awaitUntil("one follows", () -> discovery.followers() == 1);
            int asked = discovery.requests;
            Thread.sleep(3000);
            assertThat(discovery.requests)
                    .as("while it goes well nobody else asks")
                    .isEqualTo(asked);
            SchedulerProcess owner = lab.process(owner("discovery/site1"));
            owner.signal("KILL");
            awaitUntil(
                    "another follows",
                    () -> discovery.followers() == 1
                            && !owner("discovery/site1").equals(owner.name()));
            double startedAtMs = lab.history().nowMs();
            owner.start();
            awaitJoined(owner, startedAtMs);
            awaitUntil("it knows the list too", () -> readCounter(owner, "discovered") == 5);
            awaitUntil("still one follows", () -> discovery.followers() == 1);
            SchedulerProcess cut = lab.processes().stream()
                    .filter(process -> !process.name().equals(owner("discovery/site1")))
                    .findFirst()
                    .orElseThrow();
            lab.cutOff(cut.name(), true, true, true);
            awaitUntil("the one cut off asks itself", () -> discovery.followers() == 2);
            lab.cutOff(cut.name(), true, true, false);
            awaitUntil("it follows again", () -> discovery.followers() == 1);
        }
    }

    /** Guards a member with a full disk: it leaves the fleet and serves alone, the others continue, and it can rejoin. */
    @Test
    void aFullDiskAtTheLeaderCostsTheFleetNothing() throws Exception {
        createFleet(3, 0, 3, "");
        // The first voter founds the fleet and leads it first; ulimit -f bounds the size of its files.
        lab.processes().get(0).start(List.of("/bin/sh", "-c", "ulimit -f 400; exec \"$@\"", "sh"));
        lab.processes().get(1).start();
        lab.processes().get(2).start();
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process, 0);
        }
        startWorkers(1, "order-it");
        List<String> keys = new ArrayList<>();
        SchedulerProcess full = lab.processes().get(0);
        SchedulerProcess other = lab.processes().get(1);
        awaitUntil("its disk is full", () -> {
            String key = "x".repeat(900) + keys.size();
            if (LabWorkers.submitScheduled(other, lab.history(), "order-it", key, 1) != null) {
                keys.add(key);
            }
            return lab.history().ofKind("log").stream()
                    .anyMatch(event ->
                            event.source().equals(full.name()) && event.text().contains("takes part no longer"));
        });
        awaitUntil(
                "the others go on",
                () -> LabWorkers.submitScheduled(other, lab.history(), "order-it", "after", 1) != null);
        assertThat(full.isRunning()).as("it serves on").isTrue();
        assertThat(callOperatorApi(full, "n1/offline")).as("and answers").isEqualTo(404);
        keys.add("after");
        assertEachRanOnceOrWasGivenUp(keys);
        full.signal("KILL");
        assertThat(full.awaitExit(TIMEOUT_MS)).isTrue();
        double restartedAtMs = lab.history().nowMs();
        full.start();
        awaitJoined(full, restartedAtMs);
    }
}
