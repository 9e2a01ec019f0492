package plumpost.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** Where fronts open their listeners. */
public interface Listeners {
    /**
     * Listens; at most so many connections are open at once.
     *
     * @param batched what is written goes out once a turn: fewer calls, a little later
     * @param unreadBytes what a peer may leave unread before its connection is cut
     * @param shedConnection ends the connection that matters least, and says whether there was one
     */
    InetSocketAddress listen(
            InetSocketAddress address,
            Function<Connection, ConnectionHandler> handlerFactory,
            int maxConnections,
            boolean batched,
            long unreadBytes,
            BooleanSupplier shedConnection)
            throws IOException;
}
