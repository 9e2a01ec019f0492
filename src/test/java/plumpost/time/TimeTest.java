package plumpost.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The timer wheel and the clock. */
class TimeTest {

    /** Guards that timers run once, in time order by ticks, never early and at most a tick late, round the wheel too. */
    @Test
    void timersRunWithinATickOfTheirTime() {
        SplittableRandom random = new SplittableRandom(5);
        double start = 1_700_000_000_001.3;
        double[] now = {start};
        TimerWheel wheel = new TimerWheel(start);
        List<Double> late = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            double due = start + random.nextDouble(60_000);
            TimerWheel.Timer t = wheel.at(due, () -> late.add(now[0] - due));
            if (i % 3 == 0) {
                t.cancel();
            }
        }
        while (now[0] < start + 60_010) {
            double quiet = wheel.quietUntil(now[0], 500);
            assertThat(quiet).isLessThanOrEqualTo(now[0] + 500);
            now[0] = Math.max(now[0] + 0.1, quiet);
            wheel.turnTo(now[0]);
        }
        assertThat(late).hasSize(2000).allMatch(l -> l >= 0 && l <= 2 * TimerWheel.TICK_MS);
    }

    /** Guards that the module's time agrees with Unix time and never runs backwards. */
    @Test
    void theClockAgreesWithUnixTime() {
        SystemClock clock = new SystemClock();
        double last = 0;
        for (int i = 0; i < 10_000; i++) {
            double now = clock.nowMs();
            assertThat(now).isGreaterThanOrEqualTo(last);
            last = now;
        }
        assertThat(last).isCloseTo(System.currentTimeMillis(), org.assertj.core.data.Offset.offset(1000.0));
    }
}
