package plumpost.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A client whose connection is idle after an answered call, and that sends one request on it later. */
final class IdleClient {
    private static final String LIVE = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String ANSWER = "HTTP/1.1 ";
    private static final int FIRST_PIECE_BYTES = 40;
    private static final int TIMEOUT_MS = 20_000;

    private final String id;
    private final boolean inPieces;
    private final Socket socket = new Socket();
    private final Thread reader = new Thread(this::read, "idle client");
    private volatile boolean answered;
    private volatile boolean wasReset;
    private volatile long sentAtNs;

    /** Connects, waits for the answer to one call and leaves the connection idle. */
    IdleClient(InetSocketAddress scheduler, String id, boolean inPieces) throws IOException {
        this.id = id;
        this.inPieces = inPieces;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(new InetSocketAddress(scheduler.getAddress(), scheduler.getPort()));
        socket.getOutputStream().write(LIVE.getBytes(StandardCharsets.US_ASCII));
        byte[] answer = new byte[1024];
        int length = socket.getInputStream().read(answer);
        if (length <= 0 || !new String(answer, 0, length, StandardCharsets.US_ASCII).startsWith(ANSWER + "200")) {
            throw new IOException("no answer to the first call");
        }
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        byte[] bytes = new byte[4096];
        try {
            int length = socket.getInputStream().read(bytes);
            answered = length > 0 && new String(bytes, 0, length, StandardCharsets.US_ASCII).startsWith(ANSWER);
        } catch (SocketException e) {
            wasReset = true;
        } catch (IOException e) {
            throw new IllegalStateException(id + ": neither answered nor closed", e);
        }
    }

    private String request() {
        return "POST /route-plan HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nContent-Length: 1\r\n\r\nx";
    }

    private void send(String text, boolean last) {
        if (last) {
            sentAtNs = System.nanoTime();
        }
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            sentAtNs = 0; // the scheduler has closed the idle connection: no request was submitted
        }
    }

    void sendComplete() {
        if (reader.isAlive()) {
            send(request(), true);
        }
    }

    void sendFirstPiece() {
        if (reader.isAlive()) {
            send(request().substring(0, FIRST_PIECE_BYTES), false);
        }
    }

    void sendLastPiece() {
        if (reader.isAlive()) {
            send(request().substring(FIRST_PIECE_BYTES), true);
        }
    }

    void awaitEnd() throws InterruptedException, IOException {
        reader.join(TIMEOUT_MS);
        socket.close();
    }

    String id() {
        return id;
    }

    boolean sendsInPieces() {
        return inPieces;
    }

    boolean answered() {
        return answered;
    }

    /** Whether the connection was reset, as the kernel does for a killed process with unread bytes. */
    boolean endedByReset() {
        return wasReset;
    }

    /** Returns when the last byte was written, by {@link System#nanoTime}, or 0 if it was not. */
    long sentAtNs() {
        return sentAtNs;
    }
}
