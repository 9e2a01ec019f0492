package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import plumpost.lab.faults.FaultLibrary;
import plumpost.lab.fleet.FleetLab.One;

/** A fleet whose members' wall clocks step, each by itself: leases, duties and planned jobs. */
class ClocksIT extends FleetRig {
    private static final double HOUR_MS = 3_600_000;
    /** Several times the time after which a life that is not heard is called lost. */
    private static final long LEASES_MS = 4_000;

    private final Map<String, FaultLibrary> clocks = new HashMap<>();

    @AfterEach
    void closeClocks() throws Exception {
        for (FaultLibrary each : clocks.values()) {
            each.close();
        }
    }

    private void fleetWithClocks() throws Exception {
        unstarted(3, 0, 3, "");
        for (One one : lab.all()) {
            FaultLibrary faults = new FaultLibrary(null);
            clocks.put(one.name(), faults);
            one.environment(faults.environment());
            one.start();
        }
        for (One one : lab.all()) {
            joined(one, 0);
        }
    }

    /** Guards leases and duties: steps of an hour and of seconds, both ways, end no life and pass no duty on. */
    @Test
    void stepsEndNoLeaseAndPlannedJobsRunOnce() throws Exception {
        fleetWithClocks();
        work(1, "order-it");
        String owner = owner("schedule");
        long fence = fence();
        List<Double> steps = new ArrayList<>(List.of(HOUR_MS, -HOUR_MS, 5_000.0));
        for (One one : lab.all()) {
            clocks.get(one.name())
                    .stepWallClock(one.name().equals(owner) ? steps.remove(0) : steps.remove(steps.size() - 1));
        }
        Thread.sleep(LEASES_MS);
        assertThat(owner("schedule")).isEqualTo(owner);
        assertThat(fence()).isEqualTo(fence);
        assertThat(lab.history().of("log")).noneMatch(seen -> seen.words().contains("is over"));
        eachOnce(plan(20, "order-it", "ahead-", 2_000)); // due already by the owner's clock
        clocks.get(owner).stepWallClock(-HOUR_MS);
        List<String> later = plan(20, "order-it", "behind-", 1_000);
        Thread.sleep(LEASES_MS);
        clocks.get(owner).stepWallClock(0);
        eachOnce(later); // looked at again within a second, not an hour later
        assertThat(fence()).isEqualTo(fence);
    }
}
