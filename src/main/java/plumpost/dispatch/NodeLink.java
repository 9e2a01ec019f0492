package plumpost.dispatch;

/** Port to one route node: carries attempts and probes there, and reports each one's end exactly once. */
public interface NodeLink {
    /** Sends the attempt's job; {@link Attempt} takes what comes of it. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; no more is to be reported of it. */
    void giveUp(Attempt attempt);

    /** Asks for a sign of life and the load report. */
    void probe(Probe probe);

    /** The node is listed no more: what stands idle is closed. */
    void leave();
}
