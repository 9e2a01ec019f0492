package plumpost.time;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Converts between Unix times, which are exchanged with other machines, and the loop's {@link Clock}, which measures all
 * durations. The wall clock may step by seconds or hours in either direction, and no reading is known to be the correct one,
 * so the last few offsets between both clocks are remembered. Owned by one thread.
 */
public final class UnixTime {
    /** A change of the offset by more than this is a step; a smaller one is drift, and the offset follows it. */
    static final double STEP_THRESHOLD_MS = 100;
    /** Number of remembered offsets; beyond this the oldest is forgotten. */
    private static final int MAX_OFFSETS = 8;

    private final Clock clock;
    private final DoubleSupplier wallMs;
    /** Unix time minus the clock's time, before and after each observed step; the newest last. */
    private final Deque<Double> offsetsMs = new ArrayDeque<>();

    private long steps;

    /** Creates a converter for the given wall clock. */
    public UnixTime(Clock clock, DoubleSupplier wallMs) {
        this.clock = clock;
        this.wallMs = wallMs;
        offsetsMs.add(wallMs.getAsDouble() - clock.nowMs());
    }

    /** Creates a converter for the system's wall clock. */
    public static UnixTime system(Clock clock) {
        return new UnixTime(clock, SystemClock::wallMs);
    }

    /** Creates a converter for a clock that itself gives Unix time and never steps, such as a virtual one. */
    public static UnixTime of(Clock clock) {
        return new UnixTime(clock, clock::nowMs);
    }

    /** Returns the current Unix time in milliseconds. */
    public double nowMs() {
        observe();
        return clock.nowMs() + offsetsMs.getLast();
    }

    /** Compares both clocks and records a step; returns whether there was one since the last call. */
    public boolean observe() {
        double offset = wallMs.getAsDouble() - clock.nowMs();
        double previous = offsetsMs.getLast();
        boolean stepped = Math.abs(offset - previous) > STEP_THRESHOLD_MS;
        if (!stepped) {
            offsetsMs.removeLast();
        } else {
            steps++;
            // A step back to a known offset replaces that offset.
            offsetsMs.removeIf(known -> Math.abs(known - offset) <= STEP_THRESHOLD_MS);
            while (offsetsMs.size() >= MAX_OFFSETS) {
                offsetsMs.removeFirst();
            }
        }
        offsetsMs.addLast(offset);
        return stepped;
    }

    /** Returns the number of observed steps. */
    public long steps() {
        return steps;
    }

    /** Returns the milliseconds until a Unix time by the current wall clock; negative if it is past. */
    public double untilMs(double unixMs) {
        return unixMs - nowMs();
    }

    /**
     * Converts the Unix time of an event on another machine to the loop's clock. If the wall clock has stepped, this is the
     * latest time that any remembered offset allows, so that the caller takes the event to be as recent as possible. A time
     * that would be in the future is returned as now.
     */
    public double toLatestClockTime(double unixMs) {
        observe();
        double nowMs = clock.nowMs();
        double latestMs = Double.NEGATIVE_INFINITY;
        for (double offset : offsetsMs) {
            double candidateMs = unixMs - offset;
            latestMs = candidateMs <= nowMs + STEP_THRESHOLD_MS
                    ? Math.max(latestMs, Math.min(candidateMs, nowMs))
                    : latestMs;
        }
        return latestMs == Double.NEGATIVE_INFINITY ? nowMs : latestMs;
    }
}
