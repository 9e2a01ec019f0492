package plumpost.peers;

import java.util.Collection;

/** What a fleet asks of its scheduler; called on the scheduler's loop. */
public interface Host {
    /** A route node is out by hand, or called back, for the whole fleet. */
    void banned(String node, boolean out);

    /** The functions that have workers here now. */
    Collection<String> functions();

    /**
     * Hands a job in that is this scheduler's to run; its end is told by {@link Fleet#ended}. False where it cannot be
     * taken now: nobody has seen it.
     */
    boolean run(Fleet.Job job);

    /** A job that it was told to run is not its any more: where no worker has it, it is called off unstarted. */
    void callBack(String id);

    /** Discovery's word, as the owner of its duty has it: one line of the node list. */
    void told(String line);

    /** Whether this scheduler is to ask discovery itself from now on, and for the whole list anew. */
    void ask(boolean itself, boolean whole);

    /** Whether discovery, asked by this process, is heard. */
    boolean hears();
}
