package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Real processes of the built program under faults. The tests check rules, not times; time limits are generous. */
@Timeout(180)
class FleetIT extends FleetTestBase {
    /** Guards scheduled jobs against the death of the owner: each acknowledged job runs once, wherever it was submitted. */
    @Test
    void scheduledJobsRunOnceThoughTheirTakerAndTheOwnerAreKilled() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it", "plan-it");
        List<String> keys = submitScheduledUntilAccepted(30, "order-it", "o", 4000);
        keys.addAll(submitScheduledUntilAccepted(30, "plan-it", "p", 4000));
        SchedulerProcess owner = lab.process(owner("schedule"));
        long before = fence();
        owner.signal("KILL");
        awaitUntil(
                "another owns the schedule",
                () -> !owner("schedule").isEmpty() && !owner("schedule").equals(owner.name()));
        assertThat(fence()).isGreaterThan(before);
        assertEachRanOnce(keys);
        double startedAtMs = lab.history().nowMs();
        owner.start();
        awaitJoined(owner, startedAtMs);
        awaitUntil(
                "it takes jobs",
                () -> LabWorkers.submitScheduled(owner, lab.history(), "order-it", "again", 1) != null);
        assertEachRanOnce(List.of("again"));
    }

    /** Guards against an owner that continues after a stop: its outdated entries are refused, and nothing runs twice. */
    @Test
    void anOwnerThatWasStoppedDoesNoHarmWhenItWakes() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        for (int round = 0; round < 2; round++) {
            SchedulerProcess owner = lab.process(owner("schedule"));
            List<String> keys = submitScheduled(40, "order-it", "r" + round + "-", 2000);
            Thread.sleep(1500);
            owner.signal("STOP");
            awaitUntil(
                    "another owns the schedule",
                    () -> lab.processes().stream()
                            .filter(process -> process != owner)
                            .anyMatch(process -> {
                                String now = FleetLab.ownerOf(lab.show(process), "schedule");
                                return !now.isEmpty() && !now.equals(owner.name());
                            }));
            Thread.sleep(500);
            double continuedAtMs = lab.history().nowMs();
            owner.signal("CONT");
            assertThat(lab.history()
                            .await(
                                    continuedAtMs,
                                    TIMEOUT_MS,
                                    event -> event.source().equals(owner.name())
                                            && event.text().contains("is over")))
                    .as("it learns that its session is over")
                    .isNotNull();
            awaitJoined(owner, continuedAtMs);
            assertEachRanOnceOrWasGivenUp(keys);
        }
    }

    /** Guards the orderly shutdown: a terminated owner yields its duty at once, and a rolling restart loses no job. */
    @Test
    void sigtermYieldsAtOnceAndARollingRestartLosesNothing() throws Exception {
        startFleet(3, 0, 3, "");
        startWorkers(1, "order-it");
        List<String> keys = submitScheduled(30, "order-it", "o", 9000);
        for (SchedulerProcess process : lab.processes()) {
            boolean owned = owner("schedule").equals(process.name());
            double signalledAtMs = lab.history().nowMs();
            process.signal("TERM");
            if (owned) {
                assertThat(lab.history()
                                .await(
                                        signalledAtMs,
                                        TIMEOUT_MS,
                                        event -> event.kind().equals("log")
                                                && event.text().contains("was " + process.name() + "'s")))
                        .as("another owns it")
                        .isNotNull();
            }
            assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
            process.start();
            awaitJoined(process, signalledAtMs);
        }
        assertEachRanOnce(keys);
    }

    /** Guards the operators' bans: set at one member they hold at all, survive a restart of all, and end by one call. */
    @Test
    void bansHoldForTheFleetAndOutliveARestartOfAll() throws Exception {
        startFleet(
                3,
                0,
                3,
                "\"discovery\": \"127.0.0.1:1\", \"known\": {\"seq\": 1, \"whole\": true, \"hosts\": [{\"host\": \"n1\", \"dial\": \"127.0.0.1:1\", "
                        + "\"health\": \"up\", \"site\": \"plant-1\", \"class\": \"gearman\", \"share\": 1.0, \"born_ms\": 0}]}, ");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        assertThat(callOperatorApi(first, "n9/offline")).isEqualTo(404);
        assertThat(callOperatorApi(first, "n1/offline")).isEqualTo(200);
        awaitUntil("it holds everywhere", () -> showFleet().list("offline").equals(List.of("n1")));
        double killedAtMs = lab.history().nowMs();
        for (SchedulerProcess process : lab.processes()) {
            process.signal("KILL");
        }
        for (SchedulerProcess process : List.of(second, lab.processes().get(2), first)) {
            assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process, killedAtMs);
        }
        assertThat(showFleet().list("offline")).isEqualTo(List.of("n1"));
        awaitUntil("the fleet takes it back", () -> callOperatorApi(second, "n1/online") == 200);
        awaitUntil("it is back", () -> showFleet().list("offline").isEmpty());
        lab.cutOff("s2", true, true, true);
        awaitUntil(
                "the lease of s2 has ended",
                () -> lab.history().ofKind("log").stream()
                        .anyMatch(event ->
                                event.source().equals("s2") && event.text().contains("serves on by itself")));
        assertThat(callOperatorApi(second, "n1/offline"))
                .as("out here, but not agreed on")
                .isEqualTo(503);
        lab.cutOff("s2", true, true, false);
        awaitUntil("s2 can ban for the fleet again", () -> callOperatorApi(second, "n1/offline") == 200);
    }
}
