package plumpost.lab.soak;

import java.util.Set;

/** The kinds of faults that a soak injects into its schedulers, workers, discovery and network. */
public enum FaultKind {
    /** SIGTERM, then SIGKILL as early as the platform allows, then a new process. */
    RESTART(3),
    /** SIGKILL without a SIGTERM before it, then a new process. */
    KILL(1),
    /** The process is repeatedly stopped for 0.15 s by SIGSTOP. */
    SUSPENSIONS(2),
    /** The event loop is repeatedly blocked for 0.15 s after a clock read. */
    HOLD_UPS(2),
    /** The wall clock steps forwards or backwards by seconds or by an hour. */
    WALL_CLOCK_STEP(3),
    /** Network calls fail with transient errors or transfer a single byte. */
    FAILING_CALLS(2),
    /** Established connections break with errors. */
    BREAKING_CONNECTIONS(1),
    /** Writes to the folder with the persistent state fail. */
    FAILING_DISK(2),
    /** Several SIGHUPs, with valid, empty and truncated settings files. */
    RELOADS(1),
    /** A settings file whose classes appear, disappear and get stricter, in half of the cases followed by SIGTERM. */
    SETTINGS(4),
    /** Gearman jobs with large results and background jobs come several times as often. */
    GEARMAN_BURST(3),
    /** An operator takes a worker offline and puts it online again. */
    OPERATOR_CALLS(2),
    /** Discovery is unavailable, unresponsive or slow, or its open watches send nothing more. */
    DISCOVERY(2),
    /** Workers drain and are replaced by new ones. */
    DRAINS(3),
    /** Workers accept requests and complete none of them. */
    HANGING_WORKERS(3),
    /** Workers reset connections that carry requests and close idle ones. */
    RESETTING_WORKERS(2),
    /** A worker crashes and is replaced. */
    WORKER_CRASH(1),
    /** Clients leave while up to megabytes of what they sent are unread. */
    DEPARTING_CLIENTS(4),
    /** A client sends small requests on one connection without a pause. */
    FLOODING_CLIENT(2),
    /** Clients send what is not sound, among it the ids of others' open requests. */
    BAD_CLIENTS(6),
    /** Clients leave and come again under the id of an order that may have run. */
    REPEATED_IDS(3),
    /** Very many connections idle or stop half way through a large request. */
    CROWD(1);

    private final int weight;

    FaultKind(int weight) {
        this.weight = weight;
    }

    /** Picks one of the kinds in proportion to their weights by a fraction from 0 up to 1. */
    static FaultKind pickByWeight(double fraction, Set<FaultKind> kinds) {
        double remainingWeight =
                fraction * kinds.stream().mapToInt(kind -> kind.weight).sum();
        FaultKind last = null;
        for (FaultKind kind : kinds) {
            last = kind;
            remainingWeight -= kind.weight;
            if (remainingWeight < 0) {
                break;
            }
        }
        return last;
    }
}
