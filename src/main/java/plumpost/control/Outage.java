package plumpost.control;

import plumpost.net.LoopContext;

/** Something that fails again and again: counted and logged when it begins and logged when it ends, not at each try. */
final class Outage {
    private final String counter;
    private final String description;
    private final LoopContext context;
    private double sinceMs = Double.NaN;

    /** An outage that is counted by a name and logged in words. */
    Outage(String counter, String description, LoopContext context) {
        this.counter = counter;
        this.description = description;
        this.context = context;
    }

    /** A try has failed. */
    void failed(String reason) {
        if (Double.isNaN(sinceMs)) {
            sinceMs = context.clock().nowMs();
            context.counters().count(counter);
            context.log().accept(description + ": " + reason);
        }
    }

    /** A try has not failed. */
    void recovered() {
        if (!Double.isNaN(sinceMs)) {
            context.log()
                    .accept(description + ": over after "
                            + Math.round(context.clock().nowMs() - sinceMs) + " ms");
            sinceMs = Double.NaN;
        }
    }
}
