package plumpost.time;

import java.time.Instant;

/**
 * The system's monotonic clock, with an origin such that it equals Unix time when it is created. It agrees with Unix time
 * until the wall clock steps or drifts and is never adjusted to it, so that durations are durations of real time.
 */
public final class SystemClock implements Clock {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_SECOND = 1e3;

    private final double originMs = wallMs() - monotonicMs();

    @Override
    public double nowMs() {
        return originMs + monotonicMs();
    }

    private static double monotonicMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Returns the wall clock's Unix time in milliseconds; it may step in either direction at any time. */
    static double wallMs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MS_PER_SECOND + now.getNano() / NANOS_PER_MS;
    }
}
