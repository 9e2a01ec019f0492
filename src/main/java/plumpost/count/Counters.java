package plumpost.count;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts by name of what the scheduler takes in, sends and answers; printed on request and at exit. */
public final class Counters {
    private final Map<String, long[]> counts = new HashMap<>();

    /** Counts one more under a name. */
    public void count(String name) {
        add(name, 1);
    }

    /** Counts several under a name. */
    public void add(String name, long more) {
        counts.computeIfAbsent(name, n -> new long[1])[0] += more;
    }

    /** What has been counted under a name. */
    public long of(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** All counts, a line each. */
    @Override
    public String toString() {
        StringBuilder all = new StringBuilder();
        new TreeMap<>(counts)
                .forEach((name, n) -> all.append(name).append(' ').append(n[0]).append('\n'));
        return all.toString();
    }
}
