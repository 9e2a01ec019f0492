package plumpost.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the conversion between Unix time and the monotonic clock while the wall clock steps. */
class UnixTimeTest {
    private static final double HOUR_MS = 3_600_000;

    private double monotonicMs = 5_000;
    private double offsetMs = 1_700_000_000_000.0;
    private final UnixTime unixTime = new UnixTime(() -> monotonicMs, () -> monotonicMs + offsetMs);

    /** Checks that an event of two seconds ago stays two seconds old when the wall clock steps in either direction. */
    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS, 3_000, -3_000})
    void wallClockStepDoesNotMoveAnEarlierEvent(double stepMs) {
        double eventUnixMs = unixTime.nowMs();
        double eventMs = monotonicMs;
        monotonicMs += 2_000;
        offsetMs += stepMs;
        assertThat(unixTime.toLatestClockTime(eventUnixMs)).isEqualTo(eventMs, within(UnixTime.STEP_THRESHOLD_MS));
        assertThat(unixTime.steps()).isEqualTo(1);
    }

    /** Checks that an event stamped by a machine whose clock has stepped too is recent and never in the future. */
    @ParameterizedTest
    @ValueSource(doubles = {HOUR_MS, -HOUR_MS})
    void eventStampedByASteppedClockIsPlacedInTheRecentPast(double stepMs) {
        offsetMs += stepMs;
        monotonicMs += 100;
        double eventUnixMs = monotonicMs - 50 + offsetMs;
        assertThat(unixTime.toLatestClockTime(eventUnixMs))
                .isBetween(monotonicMs - 50 - UnixTime.STEP_THRESHOLD_MS, monotonicMs);
    }

    /** A time that no clock had is taken as now, so that a cold worker is neither missed nor treated as cold for long. */
    @Test
    void futureTimeIsTakenAsNow() {
        assertThat(unixTime.toLatestClockTime(unixTime.nowMs() + 10 * HOUR_MS)).isEqualTo(monotonicMs);
    }

    /** Checks that many steps are counted and converted exactly, and that drift is followed without a step. */
    @Test
    void manyStepsAndDriftAreTracked() {
        for (int i = 1; i <= 100; i++) {
            offsetMs += i * 1_000;
            assertThat(unixTime.observe()).isTrue();
        }
        for (int i = 0; i < 100; i++) {
            offsetMs += 10;
            assertThat(unixTime.observe()).isFalse();
        }
        assertThat(unixTime.nowMs()).isEqualTo(monotonicMs + offsetMs, within(1e-3));
        assertThat(unixTime.untilMs(monotonicMs + offsetMs + 70)).isEqualTo(70, within(1e-3));
        assertThat(unixTime.steps()).isEqualTo(100);
    }
}
