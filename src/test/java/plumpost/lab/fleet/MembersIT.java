package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Founding of a fleet, loss of its leader together with an owner, and replacement of a voter under load. */
@Timeout(300)
class MembersIT extends FleetTestBase {

    /** Guards the founding: no duty is owned and no job accepted while the loss of one voter would halt the fleet. */
    @Test
    void nobodyTakesPartBeforeAllVotersAreIn() throws Exception {
        createFleet(3, 0, 3, "");
        for (SchedulerProcess process : lab.processes()) {
            process.start();
        }
        SchedulerProcess founder = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        SchedulerProcess third = lab.processes().get(2);
        awaitLogLine(founder, 0, "founding lab");
        third.signal("STOP");
        awaitLogLine(second, 0, "fleet: member s2.");
        Thread.sleep(1500);
        List<History.Event> log = lab.history().ofKind("log");
        if (log.stream().noneMatch(event -> event.text().contains("fleet: member s3."))) {
            assertThat(log).noneMatch(event -> event.text().contains("takes part"));
            assertScheduledIsRefused(second, "early");
        }
        third.signal("CONT");
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process, 0);
        }
        double killedAtMs = lab.history().nowMs();
        founder.signal("KILL");
        startWorkers(1, "order-it");
        awaitUntil(
                "the others take jobs",
                () -> LabWorkers.submitScheduled(second, lab.history(), "order-it", "late", 1) != null);
        assertEachRanOnce(List.of("late"));
        assertThat(founder.awaitExit(TIMEOUT_MS)).isTrue();
        founder.start();
        awaitJoined(founder, killedAtMs);
    }

    /** Guards against the loss of two processes at once: the leader of the log and the owner of the schedule. */
    @Test
    void theLeaderAndTheOwnerDieTogether() throws Exception {
        startFleet(5, 0, 3, "");
        startWorkers(1, "order-it");
        for (int round = 0; round < 2; round++) {
            SchedulerProcess owner = moveScheduleOffLeader();
            SchedulerProcess leader = lab.process(showFleet().text("leader"));
            List<String> keys = submitScheduled(30, "order-it", "r" + round + "-", 2500);
            assertThat(keys).isNotEmpty();
            double killedAtMs = lab.history().nowMs();
            owner.signal("KILL");
            leader.signal("KILL");
            awaitUntil(
                    "another owns it",
                    () -> !List.of("", owner.name(), leader.name()).contains(owner("schedule")));
            assertEachRanOnceOrWasGivenUp(keys);
            for (SchedulerProcess process : List.of(owner, leader)) {
                assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
                process.start();
            }
            awaitJoined(owner, killedAtMs);
            awaitJoined(leader, killedAtMs);
        }
    }

    /** Guards a change of members: a voter is replaced under load, and the leader is killed in the middle of it. */
    @Test
    void aVoterIsReplacedUnderLoadAndTheLeaderDiesMeanwhile() throws Exception {
        startFleet(5, 0, 3, "");
        startWorkers(1, "order-it");
        List<String> keys = new ArrayList<>();
        SchedulerProcess wiped = lab.processes().stream()
                .filter(process -> !process.name().equals(showFleet().text("leader")))
                .findFirst()
                .orElseThrow();
        Thread load = new Thread(() -> {
            for (int i = 0; !Thread.interrupted() && i < 2000; i++) {
                SchedulerProcess scheduler =
                        lab.processes().get(i % lab.processes().size());
                if (scheduler != wiped
                        && LabWorkers.submitScheduled(
                                        scheduler,
                                        lab.history(),
                                        "order-it",
                                        "l" + i,
                                        System.currentTimeMillis() / 1000)
                                != null) {
                    synchronized (keys) {
                        keys.add("l" + i);
                    }
                }
            }
        });
        load.start();
        double killedAtMs = lab.history().nowMs();
        try {
            wiped.signal("KILL");
            assertThat(wiped.awaitExit(TIMEOUT_MS)).isTrue();
            wiped.deleteData();
            wiped.start();
            awaitLogLine(wiped, killedAtMs, "joining lab through");
            SchedulerProcess leader = lab.process(showFleet().text("leader"));
            leader.signal("KILL");
            awaitLogLine(wiped, killedAtMs, "fleet: member " + wiped.name() + ".");
            awaitJoined(wiped, killedAtMs);
            assertThat(leader.awaitExit(TIMEOUT_MS)).isTrue();
            double restartedAtMs = lab.history().nowMs();
            leader.start();
            awaitJoined(leader, restartedAtMs);
        } finally {
            load.interrupt();
            load.join();
        }
        assertThat(keys).hasSizeGreaterThan(50);
        assertEachRanOnceOrWasGivenUp(keys);
    }
}
