package plumpost.net;

import java.net.InetSocketAddress;
import java.util.function.Function;

/** Where connections come from. */
public interface Network {
    /** Begins to connect; the user hears {@link ConnectionHandler#opened} or {@link ConnectionHandler#ended}, never before this returns. */
    Connection dial(InetSocketAddress to, Function<Connection, ConnectionHandler> user);
}
