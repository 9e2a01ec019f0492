package plumpost.front;

import java.io.IOException;
import plumpost.config.NodeConfig;

/** One protocol's side of a scheduler over its life: open, serve, stop, quiet. The core knows nothing of it. */
public interface Front {
    /** Opens its listeners and tells the core its node lists; returns where it listens, for the log. */
    String open(Listeners listeners) throws IOException;

    /** All is warm: from here on it may say that it is ready. */
    default void ready() {}

    /** Takes over what may change while jobs are open. */
    default void reload(NodeConfig config) {}

    /**
     * The scheduler stops: at once what is announced, and nothing new once newcomers may be turned away.
     *
     * @param signalledAtMs when the process heard of SIGTERM, by the loop's clock; that may be some time ago
     * @param newConnectionGraceMs so long after that clients may still come that do not know of the end
     */
    void stop(double signalledAtMs, double newConnectionGraceMs);

    /** True when nobody waits for anything on it. */
    boolean quiet();
}
