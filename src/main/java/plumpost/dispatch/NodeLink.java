package plumpost.dispatch;

/** Port to one route node: sends attempts and probes to it and reports the end of each exactly once. */
public interface NodeLink {
    /** Sends the attempt's job; progress and the end are reported to the {@link Attempt}. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; nothing more is reported about it. */
    void giveUp(Attempt attempt);

    /** Sends a probe for liveness and the load report. */
    void probe(Probe probe);

    /** Closes idle connections because the node is no longer listed. */
    void closeIdle();
}
