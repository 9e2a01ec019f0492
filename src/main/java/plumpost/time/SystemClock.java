package plumpost.time;

import java.time.Instant;

/**
 * Unix time that never runs backwards: the monotonic clock, drawn towards the wall clock by at most a tenth of the
 * time passed, so that a step of the wall clock neither expires jobs nor holds their time up.
 */
public final class SystemClock implements Clock {
    private static final double SLEW = 0.1;

    private double offset = wallMs() - steadyMs();
    private double last = steadyMs();

    @Override
    public double nowMs() {
        double steady = steadyMs();
        double gap = wallMs() - (steady + offset);
        double most = SLEW * (steady - last);
        offset += Math.max(-most, Math.min(most, gap));
        last = steady;
        return steady + offset;
    }

    private static double steadyMs() {
        return System.nanoTime() / 1e6;
    }

    private static double wallMs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }
}
