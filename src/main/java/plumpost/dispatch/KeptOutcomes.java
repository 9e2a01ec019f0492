package plumpost.dispatch;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import plumpost.time.Clock;

/**
 * Outcomes of jobs with a unique key, kept for resubmits: bounded in number and bytes, and none is dropped before its
 * time. While there is no room, new jobs with such a key are refused; that is harmless, forgetting a run is not.
 */
final class KeptOutcomes {
    /** How a job ended that may have run: its result, or null where it failed. */
    record Outcome(String unique, ByteBuffer result, double until) {}

    private final Clock clock;
    private final int most;
    private final long mostBytes;
    private final Map<String, Outcome> byUnique = new HashMap<>();
    private final PriorityQueue<Outcome> byTime = new PriorityQueue<>((a, b) -> Double.compare(a.until(), b.until()));
    private long bytes;

    KeptOutcomes(Clock clock, int most, long mostBytes) {
        this.clock = clock;
        this.most = most;
        this.mostBytes = mostBytes;
    }

    boolean hasRoom(int open) {
        expire();
        return byUnique.size() + open < most && bytes < mostBytes;
    }

    void keep(String unique, ByteBuffer result, double forMs) {
        expire();
        Outcome kept = new Outcome(unique, result, clock.nowMs() + forMs);
        Outcome old = byUnique.put(unique, kept);
        if (old != null) {
            byTime.remove(old);
            bytes -= size(old);
        }
        byTime.add(kept);
        bytes += size(kept);
    }

    Outcome of(String unique) {
        expire();
        return byUnique.get(unique);
    }

    private void expire() {
        double now = clock.nowMs();
        for (Outcome o = byTime.peek(); o != null && o.until() <= now; o = byTime.peek()) {
            byTime.poll();
            byUnique.remove(o.unique(), o);
            bytes -= size(o);
        }
    }

    private static long size(Outcome o) {
        return 200 + o.unique().length() + (o.result() == null ? 0 : o.result().remaining());
    }
}
