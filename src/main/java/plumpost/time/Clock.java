package plumpost.time;

/**
 * The only source of time for durations: deadlines, windows, waits and grace periods. It runs at the rate of real time and
 * never steps, even if the wall clock does; its origin has no meaning. Unix times are converted by {@link UnixTime}.
 */
public interface Clock {
    /** Returns the current time in milliseconds, with fractions. */
    double nowMs();
}
