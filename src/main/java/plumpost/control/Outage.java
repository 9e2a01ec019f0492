package plumpost.control;

import plumpost.net.LoopContext;

/** Tracks an operation that fails repeatedly: counts and logs the first failure and logs the recovery, not every attempt. */
final class Outage {
    private final String counter;
    private final String description;
    private final LoopContext context;
    private double sinceMs = Double.NaN;

    /** Creates a tracker with a counter's name and a description for the log. */
    Outage(String counter, String description, LoopContext context) {
        this.counter = counter;
        this.description = description;
        this.context = context;
    }

    /** Reports a failed attempt. */
    void failed(String reason) {
        if (Double.isNaN(sinceMs)) {
            sinceMs = context.clock().nowMs();
            context.counters().count(counter);
            context.log().accept(description + ": " + reason);
        }
    }

    /** Reports a successful attempt. */
    void recovered() {
        if (!Double.isNaN(sinceMs)) {
            context.log()
                    .accept(description + ": over after "
                            + Math.round(context.clock().nowMs() - sinceMs) + " ms");
            sinceMs = Double.NaN;
        }
    }
}
