package plumpost.lab.script;

/** What a script is played on: connections by the names of their peers, in memory or over TCP. */
public interface Rig {
    /** Sends bytes as a peer; the first time it connects. */
    void send(String who, byte[] bytes);

    /** The bytes that have come for a peer, after at most so many milliseconds; empty if none, null once it is closed. */
    byte[] take(String who, double longestMs);

    /** Ends a peer's connection. */
    void close(String who);

    /** Lets time pass. */
    void pass(double ms);
}
