package plumpost.front;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import plumpost.time.HoldUp;

/** The steps of a shutdown against the platform's guarantee, for any deadline and any delays within the assumed limits. */
class ShutdownScheduleTest {
    /** Returns the earliest time of SIGKILL by the protocol page. */
    private static double killAt(double sentAtMs, double longestDeadlineMs) {
        return sentAtMs + Math.min(longestDeadlineMs, 3_000) + 700;
    }

    /** Guards the answers in a shutdown: they are written before SIGKILL even if the signal, the turn and the write are late. */
    @Property
    void answersAreWrittenBeforeSigkillDespiteDelays(
            @ForAll @DoubleRange(min = 700, max = 60_000) double longestDeadlineMs,
            @ForAll @DoubleRange(min = 0, max = HoldUp.MAX_HOLD_UP_MS) double signalDelayMs,
            @ForAll @DoubleRange(min = 0, max = HoldUp.MAX_HOLD_UP_MS) double turnDelayMs,
            @ForAll @DoubleRange(min = 0, max = HoldUp.MAX_HOLD_UP_MS) double writeDelayMs) {
        ShutdownSchedule schedule = ShutdownSchedule.compute(signalDelayMs, longestDeadlineMs);
        double writtenAtMs = schedule.lastCallAtMs() + turnDelayMs + writeDelayMs;
        assertThat(writtenAtMs)
                .isLessThan(Math.max(
                        killAt(0, longestDeadlineMs) - 50,
                        ShutdownSchedule.NEW_CONNECTIONS_MS + 3 * HoldUp.MAX_HOLD_UP_MS));
        assertThat(schedule.killAtMs()).isLessThanOrEqualTo(killAt(0, longestDeadlineMs));
    }

    /** Guards clients that do not know of the shutdown yet: nothing is closed or cut short while new ones may connect. */
    @Property
    void newConnectionsAreServed(@ForAll @DoubleRange(min = 1, max = 60_000) double longestDeadlineMs) {
        ShutdownSchedule schedule = ShutdownSchedule.compute(1_000, longestDeadlineMs);
        assertThat(schedule.closeIdleAtMs()).isGreaterThanOrEqualTo(1_000 + ShutdownSchedule.NEW_CONNECTIONS_MS);
        assertThat(schedule.lastCallAtMs()).isGreaterThanOrEqualTo(schedule.closeIdleAtMs());
    }
}
