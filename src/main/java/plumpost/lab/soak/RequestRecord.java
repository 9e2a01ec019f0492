package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * What clients and workers observed of one request. Times are milliseconds of the laboratory's clock, NaN for what has not
 * happened.
 */
final class RequestRecord {
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
        double receivedAt = Double.NaN;
        double endedAt = Double.NaN;
        AttemptEnd end = AttemptEnd.OPEN;

        AttemptRecord(String worker, double firstByteAt) {
            this.worker = worker;
            this.firstByteAt = firstByteAt;
        }

        boolean mayHaveRun() {
            return !Double.isNaN(receivedAt) && end != AttemptEnd.TURNED_AWAY;
        }
    }

    final String id;
    final RequestClass requestClass;
    final SchedulerRun schedulerRun;
    final double remainingMs;
    /** Whether this was the first request on its connection. */
    final boolean onNewConnection;

    final List<AttemptRecord> attempts = new ArrayList<>(2);
    double sentAt = Double.NaN;
    double clientLeftAt = Double.NaN;
    double answeredAt = Double.NaN;
    double closedUnansweredAt = Double.NaN;
    int status;

    RequestRecord(
            String id,
            RequestClass requestClass,
            SchedulerRun schedulerRun,
            double remainingMs,
            boolean onNewConnection) {
        this.id = id;
        this.requestClass = requestClass;
        this.schedulerRun = schedulerRun;
        this.remainingMs = remainingMs;
        this.onNewConnection = onNewConnection;
    }

    double deadlineAt() {
        return sentAt + remainingMs;
    }

    boolean forwarded() {
        return attempts.stream().anyMatch(attempt -> !Double.isNaN(attempt.receivedAt));
    }

    boolean answered() {
        return !Double.isNaN(answeredAt);
    }

    @Override
    public String toString() {
        return "request " + id + " (" + requestClass.path() + ", " + schedulerRun + ", whole at " + Math.round(sentAt)
                + ", waits " + Math.round(remainingMs) + ")";
    }
}
