package plumpost.count;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Named counters of what the scheduler receives, sends and answers; printed on request and at exit. */
public final class Counters {
    private final Map<String, long[]> counts = new HashMap<>();

    /** Adds 1 to a counter. */
    public void count(String name) {
        add(name, 1);
    }

    /** Adds to a counter. */
    public void add(String name, long increment) {
        counts.computeIfAbsent(name, n -> new long[1])[0] += increment;
    }

    /** Raises a counter that keeps the highest value seen to this value, unless it is higher already. */
    public void raiseTo(String name, long value) {
        long[] count = counts.computeIfAbsent(name, n -> new long[1]);
        count[0] = Math.max(count[0], value);
    }

    /** Sets a gauge to its current value. */
    public void set(String name, long value) {
        counts.computeIfAbsent(name, n -> new long[1])[0] = value;
    }

    /** Returns the value of a counter, 0 if it was never counted. */
    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** Returns all counters in the order of their names, one {@code name value} per line. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(counts)
                .forEach((name, n) -> text.append(name).append(' ').append(n[0]).append('\n'));
        return text.toString();
    }
}
