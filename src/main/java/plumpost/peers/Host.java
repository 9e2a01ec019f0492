package plumpost.peers;

import java.util.Collection;

/** What the fleet requires of its scheduler; called on the scheduler's loop. */
public interface Host {
    /** A route node was banned by hand for the whole fleet, or its ban was lifted. */
    void banned(String node, boolean banned);

    /** The functions that currently have workers here. */
    Collection<String> functions();

    /**
     * Submits a job that is assigned to this scheduler; its end is reported by {@link Fleet#onJobEnded}. Returns false if it
     * cannot be accepted now, in which case no worker has it.
     */
    boolean run(Fleet.Job job);

    /** Recalls a job that is no longer assigned to this scheduler: if no worker has it, it is cancelled unstarted. */
    void callBack(String id);

    /** Delivers one line of the node list, as reported by the owner of the discovery duty. */
    void onNodeListLine(String line);

    /** Sets whether this scheduler queries discovery itself from now on, and whether it requests the whole list anew. */
    void setDiscoveryQueries(boolean itself, boolean whole);

    /** Whether discovery answers the queries of this process. */
    boolean discoveryAnswers();
}
