package plumpost.peers;

import java.util.List;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.net.LoopContext;

/**
 * What a scheduler has of its fleet where its file has {@code peers}: the rest of the program sees only this. All calls
 * come from the scheduler's loop, and so do all that it calls back.
 */
public interface Fleet {
    /**
     * A job that starts at a time.
     *
     * @param id the handle that its client was given
     * @param atMs Unix milliseconds
     * @param repeatable whether it may run twice
     */
    record Job(String id, String function, String unique, byte[] body, double atMs, boolean repeatable) {}

    /** What became of a wish: agreed on, refused by the fleet, or not known: there is no majority, or none in time. */
    record Said(boolean agreed, boolean known, String words) {}

    /** Makes fleets; found by name, since what it stands on is on no class path while peers are off. */
    interface Maker {
        /**
         * A fleet that has not begun; bad input where the data directory is not this scheduler's.
         *
         * @param loopExecutor has something run on the scheduler's loop
         */
        Fleet make(PeersConfig config, Host host, LoopContext context, Consumer<Runnable> loopExecutor);

        /** Runs a command against a fleet that runs: show, yield or remove; the answer's lines, or bad input. */
        String call(PeersConfig config, String command, String argument);
    }

    /** Joins, and from now on takes part. */
    void begin();

    /** Takes a route node out by hand, or calls it back, for the whole fleet. */
    void ban(String node, boolean out, Consumer<Said> callback);

    /** Plans a job; agreed, the words are the id that it is known by, another's where its key is planned already. */
    void plan(Job job, Consumer<Said> callback);

    /** The ledger of covered orders, or null where the file covers none. */
    Ledger ledger();

    /** Calls a planned job off that nobody was told to run. */
    void callOff(String id, Consumer<Said> callback);

    /** The planned job of an id that is not over, as far as is known here, or null. */
    Job planned(String id);

    /** The ids of all planned jobs that nobody was told to run yet. */
    List<String> plannedIds();

    /** The planned job under a function and a client's key that is not over, or null. */
    Job planned(String function, String unique);

    /** Whether a job that is not over has been given to somebody. */
    boolean fired(String id);

    /** A job that this scheduler was told to run has ended, or comes back unstarted and is to be run elsewhere. */
    void ended(String id, boolean unstarted);

    /** Whether what its data directory holds is known here: before that nothing is to be served. */
    boolean ready();

    /** Discovery itself told this process a line of its list. */
    void heard(String line, long seq, boolean whole);

    /** The scheduler ends: what it does for the fleet is passed on at once. */
    void stop();

    /** The scheduler, which ends, has no open job any more. */
    void idle();

    /** Whether all is passed on, and the log closed. */
    boolean quiet();
}
