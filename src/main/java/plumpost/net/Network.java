package plumpost.net;

import java.net.InetSocketAddress;
import java.util.function.Function;

/** Opens outgoing connections. */
public interface Network {
    /**
     * Starts to connect. The handler's {@link ConnectionHandler#opened} or {@link ConnectionHandler#ended} is called later, never
     * before this method returns.
     */
    Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers);
}
