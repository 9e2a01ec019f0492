package plumpost.dispatch;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import plumpost.time.Clock;

/**
 * Keys of ended jobs of which another run would be harmless, bounded in number and time. Ids are new with each request, so one that comes
 * again is not its owner's; it is often sent while the owner's request is open and read after its end.
 */
final class RecentIds {
    private final Clock clock;
    private final int maxCount;
    private final Set<String> keys = new HashSet<>();
    private final ArrayDeque<Entry> byEnd = new ArrayDeque<>();

    private record Entry(String key, double expiresAtMs) {}

    RecentIds(Clock clock, int maxCount) {
        this.clock = clock;
        this.maxCount = maxCount;
    }

    /** Remembers the key of a job that has ended now; at the bound the oldest key is forgotten. */
    void add(String key, double forMs) {
        if (keys.add(key)) {
            byEnd.add(new Entry(key, clock.nowMs() + forMs));
        }
        expire();
    }

    boolean contains(String key) {
        expire();
        return keys.contains(key);
    }

    /** Drops keys in the order in which their jobs ended; one with a longer time holds up those behind it, within the bound. */
    private void expire() {
        double nowMs = clock.nowMs();
        while (!byEnd.isEmpty() && (byEnd.size() > maxCount || byEnd.peek().expiresAtMs() <= nowMs)) {
            keys.remove(byEnd.poll().key());
        }
    }
}
