package plumpost.time;

/** How long the process may be paused between two of its steps, as the operators' terms allow. */
public final class HoldUp {
    /**
     * Real time that may pass between reading the clock and any write, and between a signal and its handler (standing test,
     * "What production adds"). Decisions about what must be over by a given time are made this much earlier.
     */
    public static final double MAX_HOLD_UP_MS = 150;

    /**
     * Latest start of an attempt after its client closed or gave up (standing test, "How the days are played").
     */
    public static final double AFTER_LEAVE_MS = 100;

    /** Minimum time left to the client to start an attempt: with less, a pause could delay the start past the limit. */
    public static final double LEAST_LEFT_MS = MAX_HOLD_UP_MS - AFTER_LEAVE_MS;

    private HoldUp() {}
}
