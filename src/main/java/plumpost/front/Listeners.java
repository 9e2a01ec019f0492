package plumpost.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;

/** Opens listeners for fronts. */
public interface Listeners {
    /**
     * Opens a listener and returns the address that it is bound to.
     *
     * @param address the address to listen at
     * @param handlerFactory creates the handler of each accepted connection
     * @param maxConnections maximum number of open connections
     * @param batched whether output is written once per turn of the event loop: fewer system calls, slightly later
     * @param unreadBytes how many written bytes a peer may leave unread before its connection is closed
     * @param shedConnection closes the least important connection; returns false if there is none
     * @throws IOException if the address cannot be bound
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
