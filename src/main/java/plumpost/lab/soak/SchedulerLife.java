package plumpost.lab.soak;

import java.net.InetSocketAddress;

/** One process of one scheduler, as the player knows it. Times are the player's, in milliseconds; NaN while not yet. */
final class SchedulerLife {
    final int scheduler;
    final int number;
    final InetSocketAddress front;
    final double readyAt;
    double terminatedAt = Double.NaN;
    /** When it was killed or ended, in order or not. */
    double endedAt = Double.NaN;
    /** Whether it ended in order, not by SIGKILL: then all that it had taken is answered. */
    boolean endedInOrder;
    /** Whether its connections may have broken by a fault that was played on it. */
    boolean connectionsBreak;

    SchedulerLife(int scheduler, int number, InetSocketAddress front, double readyAt) {
        this.scheduler = scheduler;
        this.number = number;
        this.front = front;
        this.readyAt = readyAt;
    }

    boolean over() {
        return !Double.isNaN(endedAt);
    }

    boolean terminated() {
        return !Double.isNaN(terminatedAt);
    }

    @Override
    public String toString() {
        return "scheduler " + scheduler + " life " + number;
    }
}
