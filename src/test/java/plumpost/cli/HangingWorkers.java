package plumpost.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Workers that accept each request, report its start and never complete it; they answer probes. */
final class HangingWorkers implements Closeable {
    private static final Pattern ID = Pattern.compile("X-Txn: ([!-~]+)\r\n");
    private static final int BACKLOG = 512;

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Set<String> takenIds = ConcurrentHashMap.newKeySet();

    HangingWorkers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            listeners.add(socket);
            startDaemon(() -> accept(socket));
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "hanging worker");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                startDaemon(() -> serve(client));
            } catch (IOException e) {
                return; // the listener is closed
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            StringBuilder text = new StringBuilder();
            byte[] bytes = new byte[4096];
            for (int length = client.getInputStream().read(bytes);
                    length > 0;
                    length = client.getInputStream().read(bytes)) {
                text.append(new String(bytes, 0, length, StandardCharsets.US_ASCII));
                if (text.toString().startsWith("GET ") && text.toString().endsWith("\r\n\r\n")) {
                    write(client, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ninflight=0,queue=0,x0=4");
                    text.setLength(0);
                } else if (text.toString().endsWith("\r\n\r\nx")) {
                    take(client, text.toString());
                    text.setLength(0);
                }
            }
        } catch (IOException e) {
            // Expected: the scheduler closes the connections of abandoned attempts, or is killed.
            return;
        }
    }

    private void take(Socket client, String request) throws IOException {
        Matcher id = ID.matcher(request);
        if (id.find()) {
            takenIds.add(id.group(1));
            String line = "{\"id\":\"" + id.group(1) + "\",\"state\":\"started\"}\n";
            write(
                    client,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                            + "\r\n" + line + "\r\n");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the workers' entries of a node list. */
    String lines() {
        return IntStream.range(0, listeners.size())
                .mapToObj(i -> "{\"host\":\"w" + i + "\",\"dial\":\"127.0.0.1:"
                        + listeners.get(i).getLocalPort()
                        + "\",\"site\":\"p\",\"class\":\"k\",\"health\":\"up\",\"share\":1.0,\"born_ms\":0}")
                .collect(Collectors.joining(","));
    }

    boolean hasTaken(String id) {
        return takenIds.contains(id);
    }

    int takenCount() {
        return takenIds.size();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : listeners) {
            socket.close();
        }
    }
}
