package plumpost.fleet;

import java.util.function.Consumer;

/** Port to the replicated log. All that it calls back with is called on the scheduler's loop. */
public interface FleetLog {
    /** Who hears of the log; called on the scheduler's loop, in the log's order. */
    interface Ear {
        /** An entry was applied. */
        void applied(Entry entry, long term);

        /** The book stands like this now: at the start, or where a snapshot took the place of entries. */
        void restored(FleetBook.Image snapshot);

        /** What the data directory holds has been read. */
        void started();

        /** This scheduler can take part in the fleet no longer, and why; it serves on by itself. */
        void halted(String reason);
    }

    /**
     * Proposes an entry; then tells what applying it came to, or null where that is not known: it may yet be applied, or
     * never.
     */
    void propose(Entry entry, Consumer<Outcome> callback);

    /**
     * Lets the leader hear a life, which itself has heard no leader for so many milliseconds: one that is heard and hears
     * nothing has stopped its duties by itself and must not keep them from others. Then tells whether a leader that a
     * majority follows has heard it and whether that life goes on: true, false, or null where none has answered.
     */
    void beat(String name, long incarnation, double leaderSilentMs, Consumer<Boolean> callback);

    /** For how many milliseconds entries have been agreed on that have not been applied here yet; 0 where it keeps up. */
    double behindMs();

    /** How often it has synced its log to the disk. */
    long syncs();

    /** Leaves the log; nothing is called back after it. */
    void close();
}
