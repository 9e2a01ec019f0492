package plumpost.net;

import java.net.InetSocketAddress;
import java.util.function.Function;

/** Opens outgoing connections, and divides long work among the turns of the event loop. */
public interface Network {
    /**
     * Starts to connect. The handler's {@link ConnectionHandler#opened} or {@link ConnectionHandler#ended} is called later, never
     * before this method returns.
     */
    Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers);

    /** Runs a task in the next turn of the event loop, after the events and timers of that turn. */
    void runNextTurn(Runnable task);
}
