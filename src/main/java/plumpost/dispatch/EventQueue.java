package plumpost.dispatch;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import plumpost.count.Counters;

/** Passes events to the decision module one at a time, and carries out the actions that it requests after each. */
final class EventQueue {
    private final Counters counters;
    private final Consumer<String> log;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private boolean processing;

    EventQueue(Counters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
    }

    /** Queues an action, to be carried out when the module has returned. */
    void addAction(Runnable action) {
        actions.add(action);
    }

    /** Passes an event to the module, after those that are being processed already. */
    void process(Runnable event) {
        events.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                runGuarded(next);
                for (Runnable action = actions.poll(); action != null; action = actions.poll()) {
                    runGuarded(action);
                }
            }
        } finally {
            processing = false;
        }
    }

    /** Logs an exception instead of ending the scheduler; the backstop timer answers jobs that it leaves open. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            counters.count("guard.fault");
            log.accept("fault in the dispatch core: " + exception + location(exception));
        }
    }

    private static String location(RuntimeException exception) {
        return exception.getStackTrace().length == 0 ? "" : " at " + exception.getStackTrace()[0];
    }
}
