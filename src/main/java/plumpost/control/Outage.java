package plumpost.control;

import plumpost.net.LoopContext;

/** Something that fails again and again: counted and logged when it begins and logged when it ends, not at each try. */
final class Outage {
    private final String counter;
    private final String what;
    private final LoopContext kit;
    private double sinceMs = Double.NaN;

    /** An outage that is counted by a name and logged in words. */
    Outage(String counter, String what, LoopContext kit) {
        this.counter = counter;
        this.what = what;
        this.kit = kit;
    }

    /** A try has failed. */
    void began(String why) {
        if (Double.isNaN(sinceMs)) {
            sinceMs = kit.clock().nowMs();
            kit.counters().count(counter);
            kit.log().accept(what + ": " + why);
        }
    }

    /** A try has not failed. */
    void ended() {
        if (!Double.isNaN(sinceMs)) {
            kit.log().accept(what + ": over after " + Math.round(kit.clock().nowMs() - sinceMs) + " ms");
            sinceMs = Double.NaN;
        }
    }
}
