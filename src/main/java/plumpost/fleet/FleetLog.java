package plumpost.fleet;

import java.util.function.Consumer;

/** Port to the replicated log. All callbacks run on the scheduler's loop. */
public interface FleetLog {
    /** Receives what is applied from the log; called on the scheduler's loop, in the order of the log. */
    interface Listener {
        /** An entry was applied. */
        void applied(Entry entry, long term);

        /** The state was replaced by a snapshot: at the start, or in place of entries that were not received. */
        void restored(FleetState.Snapshot snapshot);

        /** The content of the data directory has been read. */
        void started();

        /** This scheduler can no longer take part in the fleet, for the given reason; it continues to serve on its own. */
        void halted(String reason);
    }

    /** Receives what became of a proposal; called once, on the scheduler's loop. */
    interface ProposalListener {
        /** The entry was applied, with this outcome. */
        void applied(Outcome outcome);

        /** The entry did not enter the log and never will, for the given reason. */
        void notProposed(String reason);

        /** It is not known whether the entry was or will be applied. */
        void unknown();
    }

    /** Proposes an entry. */
    void propose(Entry entry, ProposalListener listener);

    /** Proposes an entry; the callback receives the outcome of applying it, or null if it is not known to be applied. */
    default void propose(Entry entry, Consumer<Outcome> callback) {
        propose(entry, new ProposalListener() {
            @Override
            public void applied(Outcome outcome) {
                callback.accept(outcome);
            }

            @Override
            public void notProposed(String reason) {
                callback.accept(null);
            }

            @Override
            public void unknown() {
                callback.accept(null);
            }
        });
    }

    /**
     * Sends the leader a heartbeat of a session that has itself received no leader's answer for {@code leaderSilentMs}: a
     * session whose heartbeats arrive but that receives no answers has stopped its duties and must not keep others from
     * them. The callback receives true if a leader that a majority follows has received the heartbeat and the session is
     * still running, false if the session has ended, and null if no leader has answered.
     */
    void sendHeartbeat(String name, long incarnation, double leaderSilentMs, Consumer<Boolean> callback);

    /** For how many milliseconds agreed entries have been waiting to be applied here; 0 if this scheduler keeps up. */
    double behindMs();

    /** The number of times that the log was synced to the disk. */
    long syncs();

    /** Stops taking part in the log; no callback runs afterwards. */
    void close();
}
