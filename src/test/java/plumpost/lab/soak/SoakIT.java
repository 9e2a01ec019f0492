package plumpost.lab.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short soaks with real processes; {@code make soak} plays many seeds of long ones. */
class SoakIT {
    private static void play(long seed, int processes, int seconds, double faults, Set<FaultKind> kinds)
            throws Exception {
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        SoakPlan plan =
                new SoakPlan(seed, processes, 16, seconds, 15, faults, kinds, System.getProperty("java.class.path"));
        try (SoakRun run = new SoakRun(plan, new PrintStream(told, true, StandardCharsets.UTF_8))) {
            assertThat(run.run()).as(told.toString(StandardCharsets.UTF_8)).isEmpty();
        }
    }

    /** Guards connections against calls that fail in passing: an interrupted read is no end of its connection. */
    @Test
    @Timeout(120)
    void callsThatFailInPassingCostNoRequest() throws Exception {
        play(1, 3, 12, 1.5, EnumSet.of(FaultKind.FAILING_CALLS));
    }

    /** Guards restarts under clocks that step and processes that are held up: the incident, in a fleet. */
    @Test
    @Timeout(120)
    void restartsUnderStepsAndHoldUps() throws Exception {
        play(
                2,
                6,
                20,
                3,
                EnumSet.of(
                        FaultKind.RESTART,
                        FaultKind.WALL_CLOCK_STEP,
                        FaultKind.SUSPENSIONS,
                        FaultKind.HOLD_UPS,
                        FaultKind.HANGING_WORKERS));
    }

    /** Guards everything at once. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    @Timeout(180)
    void allFaultsAtOnce(long seed) throws Exception {
        play(seed, 10, 20, 2, EnumSet.allOf(FaultKind.class));
    }
}
