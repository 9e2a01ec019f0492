package plumpost.gearman;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is remembered of workers by client id over their connections: since when a worker has been up, so that one
 * that only lost its connection is not cold again, and how often it left jobs ungrabbed, so that one that flaps is
 * given time before it is listed again. Bounded; does no I/O.
 */
final class WorkerHistory {
    private static final int MOST = 10_000;
    private static final double FIRST_DELAY_MS = 100;
    private static final double MOST_DELAY_MS = 10_000;

    private static final class Page {
        double upSince;
        double leftAt = Double.NaN;
        int strikes;
    }

    private final double returnMs;
    private final Map<String, Page> pages = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Page> eldest) {
            return size() > MOST;
        }
    };

    WorkerHistory(double returnMs) {
        this.returnMs = returnMs;
    }

    /** A worker is to be listed; returns since when it has been up. Two at once under one id are two workers. */
    double come(String clientId, double connectedAt, double now) {
        if (clientId == null) {
            return connectedAt;
        }
        Page p = pages.computeIfAbsent(clientId, k -> new Page());
        boolean back = !Double.isNaN(p.leftAt) && now - p.leftAt <= returnMs;
        p.upSince = back ? p.upSince : connectedAt;
        p.leftAt = Double.NaN;
        return p.upSince;
    }

    /** How long a worker waits before it is listed: nothing, or longer with each strike in a row. */
    double delayMs(String clientId) {
        Page p = clientId == null ? null : pages.get(clientId);
        return p == null || p.strikes == 0
                ? 0
                : Math.min(MOST_DELAY_MS, FIRST_DELAY_MS * (1 << Math.min(p.strikes - 1, 10)));
    }

    void left(String clientId, double now) {
        Page p = clientId == null ? null : pages.get(clientId);
        if (p != null) {
            p.leftAt = now;
        }
    }

    /** It was given a job and did not grab it. */
    void strike(String clientId) {
        Page p = clientId == null ? null : pages.get(clientId);
        if (p != null) {
            p.strikes++;
        }
    }

    /** It has ended a job: what was before does not count. */
    void worked(String clientId) {
        Page p = clientId == null ? null : pages.get(clientId);
        if (p != null) {
            p.strikes = 0;
        }
    }
}
