package plumpost.front;

import plumpost.time.HoldUp;

/**
 * The times of the steps of a front's shutdown. The platform guarantees that SIGKILL follows SIGTERM no sooner than after the
 * longest deadline, counted as at most 3 s, plus 0.7 s (protocol page, "Figures"). The process handles SIGTERM later than it was
 * sent, and its turns and writes may be delayed, so each step allows for that.
 *
 * @param closeIdleAtMs when idle connections are closed; the others are closed after their next answer
 * @param lastCallAtMs when all open jobs are answered and no more are accepted
 * @param killAtMs the earliest time of SIGKILL
 */
public record ShutdownSchedule(double closeIdleAtMs, double lastCallAtMs, double killAtMs) {
    /** New connections keep arriving for less than this after SIGTERM (protocol page: 0.2 to 0.4 s). */
    static final double NEW_CONNECTIONS_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3_000;
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    /** The JVM calls a signal handler 20 to 40 ms after the signal on a small share of a core. */
    private static final double MAX_SIGNAL_HANDLER_DELAY_MS = 50;
    /** The longest time from the sending of SIGTERM to its handling. */
    private static final double MAX_SIGNAL_DELAY_MS = HoldUp.MAX_HOLD_UP_MS + MAX_SIGNAL_HANDLER_DELAY_MS;
    /** The time that a written answer may take to its client. */
    private static final double ANSWER_DELIVERY_MS = 100;
    /** The turn of the last call may be delayed, and its writes once more. */
    private static final double LAST_CALL_BEFORE_KILL_MS = 2 * HoldUp.MAX_HOLD_UP_MS + ANSWER_DELIVERY_MS;
    /** Jobs taken just before idle connections are closed still have this time to finish. */
    private static final double CLOSE_IDLE_BEFORE_LAST_CALL_MS = 800;

    /** Computes the schedule from the time at which SIGTERM was handled and the longest deadline of all classes. */
    public static ShutdownSchedule compute(double signalHandledAtMs, double longestDeadlineMs) {
        double killAtMs = signalHandledAtMs
                - MAX_SIGNAL_DELAY_MS
                + Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS)
                + KILL_AFTER_DEADLINE_MS;
        double newConnectionsUntilMs = signalHandledAtMs + NEW_CONNECTIONS_MS;
        double lastCallAtMs = Math.max(newConnectionsUntilMs, killAtMs - LAST_CALL_BEFORE_KILL_MS);
        double closeIdleAtMs = Math.max(newConnectionsUntilMs, lastCallAtMs - CLOSE_IDLE_BEFORE_LAST_CALL_MS);
        return new ShutdownSchedule(closeIdleAtMs, lastCallAtMs, killAtMs);
    }
}
