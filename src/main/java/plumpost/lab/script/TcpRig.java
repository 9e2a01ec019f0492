package plumpost.lab.script;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Rig with one blocking TCP connection per peer, all to one address. */
public final class TcpRig implements Rig, AutoCloseable {
    private final InetSocketAddress target;
    private final Map<String, Socket> sockets = new HashMap<>();

    /** Creates a rig whose peers connect to {@code target}. */
    public TcpRig(InetSocketAddress target) {
        this.target = target;
    }

    private Socket socket(String peer) throws IOException {
        Socket socket = sockets.get(peer);
        if (socket == null || socket.isClosed()) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(target, 2000);
            sockets.put(peer, socket);
        }
        return socket;
    }

    @Override
    public void send(String peer, byte[] bytes) {
        try {
            socket(peer).getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new Player.StepFailed(peer + " cannot send to " + target + ": " + e.getMessage());
        }
    }

    @Override
    public byte[] receive(String peer, double timeoutMs) {
        try {
            Socket socket = socket(peer);
            InputStream in = socket.getInputStream();
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            byte[] buffer = new byte[65_536];
            int count = in.read(buffer);
            return count < 0 ? null : Arrays.copyOf(buffer, count);
        } catch (SocketTimeoutException e) {
            return new byte[0];
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void close(String peer) {
        try {
            socket(peer).close();
        } catch (IOException e) {
            throw new Player.StepFailed(peer + " cannot close: " + e.getMessage());
        }
    }

    @Override
    public void advance(double ms) {
        try {
            Thread.sleep((long) ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        for (Socket socket : sockets.values()) {
            try {
                socket.close();
            } catch (IOException e) {
                continue; // close the remaining sockets all the same
            }
        }
    }
}
