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
    default void reload(NodeConfig now) {}

    /** The scheduler stops: at once what is announced, and from {@code goingMs} later on nothing new. */
    void stop(double goingMs);

    /** True when nobody waits for anything on it. */
    boolean quiet();
}
