package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What clients and workers saw of one request. Times are the player's, in milliseconds; NaN for what did not happen. */
final class RequestRecord {
    /** What classes of requests may do when they may have run. */
    enum RequestClass {
        /** Safe to repeat. */
        PLAN("plan", 4_000),
        /** Must never run twice. */
        ORDER("order", 6_000),
        /** Workers drop a repeat within a window. */
        ISSUE("issue", 3_500);

        private final String path;
        private final double deadlineMs;

        RequestClass(String path, double deadlineMs) {
            this.path = path;
            this.deadlineMs = deadlineMs;
        }

        String path() {
            return path;
        }

        double deadlineMs() {
            return deadlineMs;
        }
    }

    /** How an attempt ended at its worker. */
    enum AttemptEnd {
        OPEN,
        SERVED,
        FAILED,
        TURNED_AWAY,
        CONNECTION_ENDED
    }

    /** One request as it arrived at a worker. */
    static final class AttemptRecord {
        final String worker;
        final double firstByteAt;
        double wholeAt = Double.NaN;
        double endedAt = Double.NaN;
        AttemptEnd end = AttemptEnd.OPEN;

        AttemptRecord(String worker, double firstByteAt) {
            this.worker = worker;
            this.firstByteAt = firstByteAt;
        }

        boolean mayHaveRun() {
            return !Double.isNaN(wholeAt) && end != AttemptEnd.TURNED_AWAY;
        }
    }

    final String id;
    final RequestClass requestClass;
    final SchedulerLife life;
    final double remainingMs;
    /** Whether it was the first request on its connection. */
    final boolean onNewConnection;

    final List<AttemptRecord> attempts = new ArrayList<>(2);
    double wholeAt = Double.NaN;
    double leftAt = Double.NaN;
    double answeredAt = Double.NaN;
    double closedUnansweredAt = Double.NaN;
    int status;

    RequestRecord(
            String id, RequestClass requestClass, SchedulerLife life, double remainingMs, boolean onNewConnection) {
        this.id = id;
        this.requestClass = requestClass;
        this.life = life;
        this.remainingMs = remainingMs;
        this.onNewConnection = onNewConnection;
    }

    double deadlineAt() {
        return wholeAt + remainingMs;
    }

    boolean forwarded() {
        return attempts.stream().anyMatch(attempt -> !Double.isNaN(attempt.wholeAt));
    }

    boolean answered() {
        return !Double.isNaN(answeredAt);
    }

    @Override
    public String toString() {
        return "request " + id + " (" + requestClass.path() + ", " + life + ", whole at " + Math.round(wholeAt)
                + ", waits " + Math.round(remainingMs) + ")";
    }
}
