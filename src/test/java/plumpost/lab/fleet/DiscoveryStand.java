package plumpost.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of the discovery service by the platform's protocol: one list, followed by whoever asks; counts them. */
final class DiscoveryStand implements Closeable {
    private final ServerSocket door = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> following = ConcurrentHashMap.newKeySet();
    private final String list;
    volatile int asked;

    DiscoveryStand(int nodes) throws IOException {
        StringBuilder all = new StringBuilder("{\"seq\":7,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < nodes; i++) {
            all.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"n")
                    .append(i)
                    .append("\",\"dial\":\"127.0.0.1:1\",\"health\":"
                            + "\"draining\",\"site\":\"plant-1\",\"class\":\"gearman\",\"share\":1.0,\"born_ms\":0}");
        }
        list = all.append("]}\n").toString();
        Thread t = new Thread(this::accept, "discovery");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return door.getLocalPort();
    }

    int followers() {
        return following.size();
    }

    private void accept() {
        while (!door.isClosed()) {
            try {
                Socket s = door.accept();
                Thread t = new Thread(() -> serve(s), "discovery call");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            byte[] call = new byte[4096];
            if (s.getInputStream().read(call) <= 0) {
                return;
            }
            asked++;
            following.add(s);
            OutputStream out = s.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            chunk(out, new String(call, StandardCharsets.US_ASCII).contains("since=7") ? "\n" : list);
            s.setSoTimeout(500);
            while (true) {
                try {
                    if (s.getInputStream().read() < 0) {
                        return;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    chunk(out, "\n");
                }
            }
        } catch (IOException e) {
            // it has gone
        } finally {
            following.remove(s);
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        door.close();
    }
}
