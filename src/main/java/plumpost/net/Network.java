package plumpost.net;

import java.net.InetSocketAddress;
import java.util.function.Function;

/** Where connections come from. */
public interface Network {
    /** Begins to connect; the user hears {@link WireUser#opened} or {@link WireUser#ended}, never before this returns. */
    Wire dial(InetSocketAddress to, Function<Wire, WireUser> user);
}
