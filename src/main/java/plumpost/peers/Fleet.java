package plumpost.peers;

import java.util.List;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.net.LoopContext;

/**
 * The fleet as the rest of the program sees it, where the configuration has {@code peers}. All calls are made on the
 * scheduler's loop, and so are all callbacks.
 */
public interface Fleet {
    /**
     * A planned job.
     *
     * @param id the handle that its client was given
     * @param atMs when it starts, in Unix milliseconds
     * @param repeatable whether it may run twice
     */
    record Job(String id, String function, String unique, byte[] body, double atMs, boolean repeatable) {}

    /** What became of a request. */
    enum Result {
        /** The fleet has agreed on it. */
        AGREED,
        /** The fleet has refused it. */
        REFUSED,
        /** It was not proposed to the fleet, and has no effect. */
        NOT_PROPOSED,
        /** It was proposed and may still be agreed on, or never. */
        UNKNOWN
    }

    /** The answer to a request; the detail is the reason, or the id of the job that was agreed on. */
    record Reply(Result result, String detail) {
        /** Whether the fleet has agreed on it. */
        public boolean agreed() {
            return result == Result.AGREED;
        }
    }

    /** Creates fleets; loaded by name, since its libraries are on no class path while peers are off. */
    interface Maker {
        /**
         * Creates a fleet that takes part once {@link Fleet#begin} is called; throws bad input if the data directory is
         * not this scheduler's.
         *
         * @param loopExecutor runs a task on the scheduler's loop
         */
        Fleet make(PeersConfig config, Host host, LoopContext context, Consumer<Runnable> loopExecutor);

        /** Runs show, yield or remove against a running fleet; returns the lines of the answer, or throws bad input. */
        String call(PeersConfig config, String command, String argument);
    }

    /** Joins the fleet and takes part from now on. */
    void begin();

    /** Bans a route node by hand for the whole fleet, or lifts the ban. */
    void ban(String node, boolean banned, Consumer<Reply> callback);

    /**
     * Schedules a job; if agreed the detail is its id, or that of the job already planned with the same key. The caller is
     * answered within {@code limitMs}; a job that is agreed on after that is cancelled unless it is already running.
     */
    void plan(Job job, double limitMs, Consumer<Reply> callback);

    /** The ledger of covered orders, or null if the configuration covers none. */
    Ledger ledger();

    /** Cancels a planned job that has not been assigned to any scheduler. */
    void callOff(String id, Consumer<Reply> callback);

    /** Returns the planned job with this id that is not over, as far as is known here, or null. */
    Job planned(String id);

    /** Returns the ids of all planned jobs that have not been assigned to any scheduler. */
    List<String> plannedIds();

    /** Returns the planned job with this function and client's key that is not over, or null. */
    Job planned(String function, String unique);

    /** Whether a job that is not over has been assigned to a scheduler. */
    boolean fired(String id);

    /** A job that was assigned to this scheduler has ended, or comes back unstarted and is to run elsewhere. */
    void onJobEnded(String id, boolean unstarted);

    /** Whether the content of its data directory has been read: nothing may be served before. */
    boolean ready();

    /** Discovery sent this process a line of the node list. */
    void onDiscoveryLine(String line, long seq, boolean whole);

    /** The scheduler shuts down: its duties are passed on at once. */
    void stop();

    /** The scheduler, which is shutting down, has no open job any more. */
    void idle();

    /** Whether it has left the fleet and closed the log. */
    boolean closed();
}
