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

/** Discovery service for tests: serves one fixed list of draining nodes to all followers; counts requests and followers. */
final class DiscoveryStub implements Closeable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> following = ConcurrentHashMap.newKeySet();
    private final String list;
    volatile int requests;

    DiscoveryStub(int nodes) throws IOException {
        StringBuilder json = new StringBuilder("{\"seq\":7,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < nodes; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"n")
                    .append(i)
                    .append("\",\"dial\":\"127.0.0.1:1\",\"health\":"
                            + "\"draining\",\"site\":\"plant-1\",\"class\":\"gearman\",\"share\":1.0,\"born_ms\":0}");
        }
        list = json.append("]}\n").toString();
        Thread thread = new Thread(this::accept, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    int followers() {
        return following.size();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "discovery call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            byte[] request = new byte[4096];
            if (socket.getInputStream().read(request) <= 0) {
                return;
            }
            requests++;
            following.add(socket);
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            chunk(out, new String(request, StandardCharsets.US_ASCII).contains("since=7") ? "\n" : list);
            socket.setSoTimeout(500);
            while (true) {
                try {
                    if (socket.getInputStream().read() < 0) {
                        return;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    chunk(out, "\n");
                }
            }
        } catch (IOException e) {
            // the follower has closed its connection
        } finally {
            following.remove(socket);
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
