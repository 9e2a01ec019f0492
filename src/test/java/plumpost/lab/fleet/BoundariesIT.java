package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/**
 * Kills a scheduler, or stops and later continues it, at every boundary of an action on behalf of the fleet: before its
 * intent is recorded, between intent and action, and between action and record of the outcome. A failpoint halts its event
 * loop exactly there, so the tests do not depend on timing. Two of the five processes have no vote.
 */
@Timeout(600)
class BoundariesIT extends FleetTestBase {
    private record Boundary(String name, boolean atOwner, int minRuns, int maxRuns, boolean givenUp) {}

    /** Where a process halts, whether it is the owner of the schedule, and what may then become of an order. */
    private static final List<Boundary> BOUNDARIES = List.of(
            new Boundary("before Fire", true, 1, 1, false),
            new Boundary("after Fire", true, 1, 1, false),
            new Boundary("before Begin", false, 1, 1, false),
            new Boundary("after Begin", false, 0, 0, true),
            new Boundary("before run", false, 0, 1, true),
            new Boundary("after run", false, 0, 1, true),
            new Boundary("before End", false, 1, 1, true),
            new Boundary("after End", false, 1, 1, false));

    private int round;

    /** Guards against an order that is repeated or lost when its scheduler is killed or stopped in the middle of an action. */
    @Test
    void whoeverEndsAtABoundaryLeavesEachOrderOnceOrGivenUp() throws Exception {
        startFleet(3, 2, 3, "");
        for (Boundary boundary : BOUNDARIES) {
            for (String fault : List.of("KILL", "STOP")) {
                killOrStopAt(boundary, fault, true);
            }
        }
    }

    /** Guards jobs that may run twice: they continue elsewhere wherever their scheduler ended. */
    @Test
    void whatMayRunTwiceGoesOnElsewhere() throws Exception {
        startFleet(3, 2, 3, "");
        for (Boundary boundary : BOUNDARIES.subList(2, 7)) {
            killOrStopAt(boundary, boundary.name.equals("before End") ? "KILL" : "STOP", false);
        }
    }

    private void killOrStopAt(Boundary boundary, String fault, boolean order) throws Exception {
        String function = (order ? "order-" : "plan-") + ++round;
        String key = "k" + round;
        String description = boundary.name + ", " + fault + ", " + function;
        SchedulerProcess owner = moveScheduleOffLeader();
        String leader = showFleet().text("leader");
        SchedulerProcess runner = lab.processes().stream()
                .filter(process -> process != owner && !process.name().equals(leader))
                .findFirst()
                .orElseThrow();
        SchedulerProcess other = lab.processes().stream()
                .filter(process ->
                        process != owner && process != runner && !process.name().equals(leader))
                .findFirst()
                .orElseThrow();
        SchedulerProcess victim = boundary.atOwner ? owner : runner;
        victim.setHalt(boundary.name, true);
        LabWorkers first = new LabWorkers(runner, lab.history(), 1, 1, function);
        workers.add(first);
        double startedAtMs = lab.history().nowMs();
        awaitUntil(
                description + ": its job is taken",
                () -> LabWorkers.submitScheduled(other, lab.history(), function, key, System.currentTimeMillis() / 1000)
                        != null);
        awaitLogLine(victim, startedAtMs, "halts " + boundary.name);
        victim.signal(fault);
        awaitLogLine(other, startedAtMs, victim.name() + ", incarnation ");
        LabWorkers second = new LabWorkers(other, lab.history(), 1, 1, function);
        workers.add(second);
        victim.setHalt(boundary.name, false);
        double continuedAtMs = lab.history().nowMs();
        if (fault.equals("KILL")) {
            assertThat(victim.awaitExit(TIMEOUT_MS)).isTrue();
            victim.start();
        } else {
            victim.signal("CONT");
            awaitLogLine(victim, continuedAtMs, "is over: ");
        }
        awaitJoined(victim, continuedAtMs);
        if (order) {
            assertEachRanOnceOrWasGivenUp(List.of(key));
            Fields status = showFleet();
            assertThat(runCount(key)).as(description).isBetween((long) boundary.minRuns, (long) boundary.maxRuns);
            assertThat(isGivenUp(status, key)).as(description + ": given up").isEqualTo(boundary.givenUp);
        } else {
            awaitUntil(description + ": it runs", () -> runCount(key) > 0);
            awaitUntil(
                    description + ": nothing is left",
                    () -> showFleet().object("schedule").integer("begun") == 0);
            assertThat(runCount(key)).as(description).isLessThanOrEqualTo(2);
        }
        first.close();
        second.close();
    }

    /** Guards the record of discovery: an owner that was stopped between check and record is refused when it continues. */
    @Test
    void aWordOfAnOwnerThatSleptIsRefused() throws Exception {
        try (DiscoveryStub discovery = new DiscoveryStub(3)) {
            startFleet(3, 0, 1, "\"discovery\": \"127.0.0.1:" + discovery.port() + "\", ");
            for (String boundary : List.of("before Word", "after Word")) {
                for (String fault : List.of("STOP", "KILL")) {
                    awaitUntil("the owner does not lead", () -> {
                        Fields status = showFleet();
                        if (status.text("leader").equals(FleetLab.ownerOf(status, "discovery/site1"))) {
                            lab.runCommand(lab.processes().get(0), "yield", "discovery/site1");
                            return false;
                        }
                        return true;
                    });
                    SchedulerProcess owner = lab.process(owner("discovery/site1"));
                    long fence = ((Number) FleetLab.dutyField(showFleet(), "discovery/site1", "fence")).longValue();
                    double startedAtMs = lab.history().nowMs();
                    owner.setHalt(boundary, true);
                    awaitLogLine(owner, startedAtMs, "halts " + boundary);
                    owner.signal(fault);
                    awaitUntil(
                            "another owns it", () -> !owner("discovery/site1").equals(owner.name()));
                    owner.setHalt(boundary, false);
                    if (fault.equals("KILL")) {
                        assertThat(owner.awaitExit(TIMEOUT_MS)).isTrue();
                        owner.start();
                    } else {
                        owner.signal("CONT");
                        if (boundary.startsWith("before")) {
                            awaitLogLine(
                                    owner, startedAtMs, "refused Word: fence " + fence + " of discovery/site1 is old");
                        }
                    }
                    awaitJoined(owner, startedAtMs + 1);
                    awaitUntil("all know the list", () -> {
                        for (SchedulerProcess process : lab.processes()) {
                            if (readCounter(process, "discovered") != 3) {
                                return false;
                            }
                        }
                        return true;
                    });
                    awaitUntil("one follows", () -> discovery.followers() == 1);
                }
            }
        }
    }
}
