package plumpost.front;

import java.io.IOException;
import plumpost.config.NodeConfig;

/** The server side of one client protocol, and its life cycle in a scheduler. The core does not depend on it. */
public interface Front {
    /** Opens the listeners and passes node lists to the core; returns the addresses for the log. */
    String open(Listeners listeners) throws IOException;

    /** Called after the warm-up: from now on the front may report that it is ready. */
    default void ready() {}

    /** Applies the settings that may change while jobs are open. */
    default void reload(NodeConfig config) {}

    /**
     * Begins the shutdown: announces it at once, and refuses new requests after the grace period for new connections.
     *
     * @param signalledAtMs when the process received SIGTERM, by the loop's clock, possibly some time ago
     * @param newConnectionGraceMs how long after that clients may still connect because they do not know of the shutdown
     */
    void stop(double signalledAtMs, double newConnectionGraceMs);

    /** Whether no client is waiting for this front. */
    boolean isIdle();
}
