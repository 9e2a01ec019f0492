package plumpost.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the timer wheel and the system clock. */
class TimeTest {

    /** Checks that timers run once, never early and at most two ticks late, also when they wrap around the wheel. */
    @Test
    void timersRunOnceAndAtMostTwoTicksLate() {
        SplittableRandom random = new SplittableRandom(5);
        double startMs = 1_700_000_000_001.3;
        double[] nowMs = {startMs};
        TimerWheel wheel = new TimerWheel(startMs);
        List<Double> delaysMs = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            double dueMs = startMs + random.nextDouble(60_000);
            TimerWheel.Timer timer = wheel.schedule(dueMs, () -> delaysMs.add(nowMs[0] - dueMs));
            if (i % 3 == 0) {
                timer.cancel();
            }
        }
        while (nowMs[0] < startMs + 60_010) {
            double quietUntilMs = wheel.idleUntil(nowMs[0], 500);
            assertThat(quietUntilMs).isLessThanOrEqualTo(nowMs[0] + 500);
            nowMs[0] = Math.max(nowMs[0] + 0.1, quietUntilMs);
            wheel.advanceTo(nowMs[0]);
        }
        assertThat(delaysMs).hasSize(2000).allMatch(delayMs -> delayMs >= 0 && delayMs <= 2 * TimerWheel.TICK_MS);
    }

    /** Checks that the clock agrees with Unix time and never runs backwards. */
    @Test
    void systemClockStartsAtUnixTimeAndNeverRunsBackwards() {
        SystemClock clock = new SystemClock();
        double previousMs = 0;
        for (int i = 0; i < 10_000; i++) {
            double nowMs = clock.nowMs();
            assertThat(nowMs).isGreaterThanOrEqualTo(previousMs);
            previousMs = nowMs;
        }
        assertThat(previousMs).isCloseTo(System.currentTimeMillis(), org.assertj.core.data.Offset.offset(1000.0));
    }
}
