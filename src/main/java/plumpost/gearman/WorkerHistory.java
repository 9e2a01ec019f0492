package plumpost.gearman;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is remembered of workers by client id across connections: since when a worker has been up, so that one that only
 * lost its connection is not cold again, and how often it did not grab a job, so that a flapping worker is listed again
 * only after a delay. Bounded in number; does no I/O.
 */
final class WorkerHistory {
    private static final int MAX_WORKERS = 10_000;
    private static final double FIRST_DELAY_MS = 100;
    private static final double MAX_DELAY_MS = 10_000;

    private static final class Entry {
        double upSinceMs;
        double leftAtMs = Double.NaN;
        int missedGrabs;
    }

    private final double returnMs;
    private final Map<String, Entry> byClientId = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_WORKERS;
        }
    };

    WorkerHistory(double returnMs) {
        this.returnMs = returnMs;
    }

    /**
     * Returns since when a worker that is about to be listed has been up, in milliseconds of the loop's clock. Two
     * connections with the same id at the same time count as two workers.
     */
    double onReady(String clientId, double connectedAtMs, double nowMs) {
        if (clientId == null) {
            return connectedAtMs;
        }
        Entry entry = byClientId.computeIfAbsent(clientId, id -> new Entry());
        boolean returned = !Double.isNaN(entry.leftAtMs) && nowMs - entry.leftAtMs <= returnMs;
        entry.upSinceMs = returned ? entry.upSinceMs : connectedAtMs;
        entry.leftAtMs = Double.NaN;
        return entry.upSinceMs;
    }

    /** The delay before a worker is listed: 0, or a time that doubles with each missed grab in a row, up to a limit. */
    double delayMs(String clientId) {
        Entry entry = clientId == null ? null : byClientId.get(clientId);
        return entry == null || entry.missedGrabs == 0
                ? 0
                : Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * (1 << Math.min(entry.missedGrabs - 1, 10)));
    }

    void onDisconnected(String clientId, double nowMs) {
        Entry entry = clientId == null ? null : byClientId.get(clientId);
        if (entry != null) {
            entry.leftAtMs = nowMs;
        }
    }

    /** Counts that the worker was given a job and did not grab it. */
    void countMissedGrab(String clientId) {
        Entry entry = clientId == null ? null : byClientId.get(clientId);
        if (entry != null) {
            entry.missedGrabs++;
        }
    }

    /** Clears the missed grabs of a worker that has finished a job. */
    void clearMissedGrabs(String clientId) {
        Entry entry = clientId == null ? null : byClientId.get(clientId);
        if (entry != null) {
            entry.missedGrabs = 0;
        }
    }
}
