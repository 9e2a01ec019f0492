package plumpost.time;

/** The core's only source of time: Unix milliseconds with fractions, never running backwards. */
public interface Clock {
    /** The present time. */
    double nowMs();
}
