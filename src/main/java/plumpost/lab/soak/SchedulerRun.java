package plumpost.lab.soak;

import java.net.InetSocketAddress;

/** One process of one scheduler, from ready to end. Times are milliseconds of the laboratory's clock, NaN if not reached. */
final class SchedulerRun {
    /** The front accepts new connections for this long after SIGTERM. */
    private static final double NEW_CONNECTIONS_MS = 300;

    final int scheduler;
    final int number;
    final InetSocketAddress front;
    /** The address of its Gearman front. */
    final InetSocketAddress gearman;

    final double readyAt;
    /** The classes that its clients use. */
    final ClassesInUse classes;

    double terminatedAt = Double.NaN;
    /** When the process was killed or had exited. */
    double endedAt = Double.NaN;
    /** Whether it exited with status 0 and not by SIGKILL: then it must have answered all requests that it accepted. */
    boolean endedCleanly;
    /** Whether an injected fault may have broken its connections. */
    boolean connectionsMayBreak;

    SchedulerRun(
            int scheduler,
            int number,
            InetSocketAddress front,
            InetSocketAddress gearman,
            double readyAt,
            SettingsFile file) {
        this.gearman = gearman;
        this.classes = new ClassesInUse(file);
        this.scheduler = scheduler;
        this.number = number;
        this.front = front;
        this.readyAt = readyAt;
    }

    /** Returns whether clients may open connections now: the platform sends no new ones long after SIGTERM. */
    boolean acceptsNewConnections(double now) {
        return !hasEnded() && (!wasTerminated() || now < terminatedAt + NEW_CONNECTIONS_MS);
    }

    boolean hasEnded() {
        return !Double.isNaN(endedAt);
    }

    boolean wasTerminated() {
        return !Double.isNaN(terminatedAt);
    }

    @Override
    public String toString() {
        return "scheduler " + scheduler + " life " + number;
    }
}
