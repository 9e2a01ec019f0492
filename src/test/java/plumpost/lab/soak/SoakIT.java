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

/** Short soaks with real processes; {@code make soak} runs long ones with many seeds. */
class SoakIT {
    private static void play(long seed, int processes, int seconds, double faults, Set<FaultKind> kinds)
            throws Exception {
        ByteArrayOutputStream report = new ByteArrayOutputStream();
        SoakPlan plan =
                new SoakPlan(seed, processes, 16, seconds, 15, faults, kinds, System.getProperty("java.class.path"));
        try (SoakRun run = new SoakRun(plan, new PrintStream(report, true, StandardCharsets.UTF_8))) {
            assertThat(run.run()).as(report.toString(StandardCharsets.UTF_8)).isEmpty();
        }
    }

    /** A transient failure of a call, such as an interrupted read, must not end the connection. */
    @Test
    @Timeout(120)
    void callsThatFailInPassingCostNoRequest() throws Exception {
        play(1, 3, 12, 1.5, EnumSet.of(FaultKind.FAILING_CALLS));
    }

    /** Restarts while clocks step, processes are held up and workers hang, as in the incident, in a fleet. */
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

    /**
     * Settings that come, go and grow stricter under load with SIGTERM soon after, and bursts on both fronts: guards jobs that ran as
     * another function, were taken and dropped, or had no answer at SIGKILL (review cases 6, 8 and 10).
     */
    @ParameterizedTest
    @ValueSource(longs = {4, 5})
    @Timeout(120)
    void settingsChangeUnderBurstsOnBothFronts(long seed) throws Exception {
        play(seed, 3, 15, 3, EnumSet.of(FaultKind.SETTINGS, FaultKind.GEARMAN_BURST, FaultKind.HANGING_WORKERS));
    }

    /** All kinds of faults, overlapping. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    @Timeout(180)
    void allFaultsAtOnce(long seed) throws Exception {
        play(seed, 10, 20, 2, EnumSet.allOf(FaultKind.class));
    }
}
