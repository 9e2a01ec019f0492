package plumpost.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Timed record of everything observed of a fleet: faults injected, log lines, answers to clients and runs of jobs. */
public final class History {
    /** One observation, {@code atMs} after the start of the history. */
    public record Event(double atMs, String source, String kind, String text) {}

    private final long startNs = System.nanoTime();
    private final List<Event> events = new ArrayList<>();

    /** Returns the milliseconds since the start of the history. */
    public double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    /** Appends an event and wakes all threads that wait for one. */
    public synchronized void add(String source, String kind, String text) {
        events.add(new Event(nowMs(), source, kind, text));
        notifyAll();
    }

    /** Returns all events so far, in order. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** Returns all events of a kind, in order. */
    public List<Event> ofKind(String kind) {
        return events().stream().filter(event -> event.kind.equals(kind)).toList();
    }

    /** Waits for a matching event at or after {@code afterMs}; returns the first one, or null on timeout. */
    public synchronized Event await(double afterMs, double timeoutMs, Predicate<Event> matches)
            throws InterruptedException {
        double until = nowMs() + timeoutMs;
        int from = 0;
        while (true) {
            for (; from < events.size(); from++) {
                Event event = events.get(from);
                if (event.atMs >= afterMs && matches.test(event)) {
                    return event;
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
