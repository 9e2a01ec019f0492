package plumpost.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** All that was seen of a fleet, with times: what was done to it, what its processes said, each answer and each run. */
public final class History {
    /** One thing seen, so many milliseconds after the start. */
    public record Seen(double atMs, String who, String what, String words) {}

    private final long began = System.nanoTime();
    private final List<Seen> all = new ArrayList<>();

    /** The time since the start. */
    public double nowMs() {
        return (System.nanoTime() - began) / 1e6;
    }

    /** Writes something down. */
    public synchronized void add(String who, String what, String words) {
        all.add(new Seen(nowMs(), who, what, words));
        notifyAll();
    }

    /** All so far, in order. */
    public synchronized List<Seen> all() {
        return List.copyOf(all);
    }

    /** What of a kind was seen. */
    public List<Seen> of(String what) {
        return all().stream().filter(s -> s.what.equals(what)).toList();
    }

    /** Waits until something that was seen after a time fits; returns it, or null when the patience is over. */
    public synchronized Seen await(double afterMs, double patienceMs, Predicate<Seen> fits)
            throws InterruptedException {
        double until = nowMs() + patienceMs;
        int from = 0;
        while (true) {
            for (; from < all.size(); from++) {
                Seen s = all.get(from);
                if (s.atMs >= afterMs && fits.test(s)) {
                    return s;
                }
            }
            double left = until - nowMs();
            if (left <= 0) {
                return null;
            }
            wait((long) Math.ceil(left));
        }
    }
}
