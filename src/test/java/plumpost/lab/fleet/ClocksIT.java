package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import plumpost.lab.faults.FaultLibrary;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Leases, duties and scheduled jobs of a fleet whose members' wall clocks step independently. */
class ClocksIT extends FleetTestBase {
    private static final double HOUR_MS = 3_600_000;
    /** Several times the time after which a silent session is declared lost. */
    private static final long SEVERAL_LEASES_MS = 4_000;

    private final Map<String, FaultLibrary> clocks = new HashMap<>();

    @AfterEach
    void closeClocks() throws Exception {
        for (FaultLibrary each : clocks.values()) {
            each.close();
        }
    }

    private void fleetWithClocks() throws Exception {
        createFleet(3, 0, 3, "");
        for (SchedulerProcess one : lab.processes()) {
            FaultLibrary faults = new FaultLibrary(null);
            clocks.put(one.name(), faults);
            one.setEnvironment(faults.environment());
            one.start();
        }
        for (SchedulerProcess one : lab.processes()) {
            awaitJoined(one, 0);
        }
    }

    /** Guards against leases by wall clock: steps of an hour or seconds, either way, end no session and move no duty. */
    @Test
    void stepsEndNoLeaseAndPlannedJobsRunOnce() throws Exception {
        fleetWithClocks();
        startWorkers(1, "order-it");
        String owner = owner("schedule");
        long fence = fence();
        List<Double> steps = new ArrayList<>(List.of(HOUR_MS, -HOUR_MS, 5_000.0));
        for (SchedulerProcess one : lab.processes()) {
            clocks.get(one.name())
                    .stepWallClock(one.name().equals(owner) ? steps.remove(0) : steps.remove(steps.size() - 1));
        }
        Thread.sleep(SEVERAL_LEASES_MS);
        assertThat(owner("schedule")).isEqualTo(owner);
        assertThat(fence()).isEqualTo(fence);
        assertThat(lab.history().ofKind("log")).noneMatch(seen -> seen.text().contains("is over"));
        assertEachRanOnce(submitScheduled(20, "order-it", "ahead-", 2_000)); // due already by the owner's clock
        clocks.get(owner).stepWallClock(-HOUR_MS);
        List<String> later = submitScheduled(20, "order-it", "behind-", 1_000);
        Thread.sleep(SEVERAL_LEASES_MS);
        clocks.get(owner).stepWallClock(0);
        assertEachRanOnce(later); // the schedule is checked again within a second, not an hour later
        assertThat(fence()).isEqualTo(fence);
    }
}
