package plumpost.net;

/**
 * Divides what one turn of the event loop reads among the connections that are ready, so that no peer delays the others,
 * however much it sends.
 */
final class TurnShare {
    /** The bytes read in one turn from all connections together, if none needs less than its minimum. */
    private static final int BYTES_PER_TURN = 1 << 20;

    private static final int MIN_BYTES_PER_CONNECTION = 4 * 1024;
    private static final int MAX_BYTES_PER_CONNECTION = SocketConnection.BUFFER_BYTES;

    private long turn;
    private int bytesPerConnection = MAX_BYTES_PER_CONNECTION;

    /** Starts a turn in which the given number of connections are ready. */
    void startTurn(int readyConnections) {
        turn++;
        bytesPerConnection = Math.max(
                MIN_BYTES_PER_CONNECTION,
                Math.min(MAX_BYTES_PER_CONNECTION, BYTES_PER_TURN / Math.max(1, readyConnections)));
    }

    /** Returns the number of the current turn. */
    long turn() {
        return turn;
    }

    /** Returns how many bytes each connection may read in the current turn. */
    int bytesPerConnection() {
        return bytesPerConnection;
    }
}
