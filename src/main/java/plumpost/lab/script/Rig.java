package plumpost.lab.script;

/** Transport that a script is played on: one connection per named peer, in memory or over TCP. */
public interface Rig {
    /** Sends bytes as a peer; the first call connects it. */
    void send(String peer, byte[] bytes);

    /** Waits at most {@code timeoutMs} for bytes to a peer and returns them; empty on timeout, null once it is closed. */
    byte[] receive(String peer, double timeoutMs);

    /** Closes the connection of a peer. */
    void close(String peer);

    /** Waits for {@code ms} milliseconds, or advances a simulated clock by as much. */
    void advance(double ms);
}
