package plumpost.lab.script;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** A rig of blocking connections to one address, one for each peer. */
public final class TcpRig implements Rig, AutoCloseable {
    private final InetSocketAddress target;
    private final Map<String, Socket> sockets = new HashMap<>();

    /** A rig that connects to an address. */
    public TcpRig(InetSocketAddress target) {
        this.target = target;
    }

    private Socket socket(String who) throws IOException {
        Socket s = sockets.get(who);
        if (s == null || s.isClosed()) {
            s = new Socket();
            s.setTcpNoDelay(true);
            s.connect(target, 2000);
            sockets.put(who, s);
        }
        return s;
    }

    @Override
    public void send(String who, byte[] bytes) {
        try {
            socket(who).getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new Player.Failed(who + " cannot send to " + target + ": " + e.getMessage());
        }
    }

    @Override
    public byte[] take(String who, double longestMs) {
        try {
            Socket s = socket(who);
            InputStream in = s.getInputStream();
            s.setSoTimeout((int) Math.max(1, longestMs));
            byte[] some = new byte[65_536];
            int n = in.read(some);
            return n < 0 ? null : Arrays.copyOf(some, n);
        } catch (SocketTimeoutException e) {
            return new byte[0];
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void close(String who) {
        try {
            socket(who).close();
        } catch (IOException e) {
            throw new Player.Failed(who + " cannot close: " + e.getMessage());
        }
    }

    @Override
    public void pass(double ms) {
        try {
            Thread.sleep((long) ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        for (Socket s : sockets.values()) {
            try {
                s.close();
            } catch (IOException e) {
                continue; // it is gone either way
            }
        }
    }
}
