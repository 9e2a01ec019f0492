package plumpost.cli;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Workers that record each attempt and answer it as a function of its id decides, which may block. */
final class RecordingWorkers implements Closeable {
    /** The answer of a worker that turns a request away unstarted. */
    static final String TURNED_AWAY = "HTTP/1.1 504 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    private static final Pattern ID = Pattern.compile("X-Txn: ([!-~]+)\r\n");
    private static final Pattern LENGTH = Pattern.compile("Content-Length: ([0-9]+)\r\n");
    private static final String STATS = "inflight=0,queue=0,x0=4";
    private static final int BACKLOG = 512;

    /** An attempt as a worker saw it: the time at which its first byte was read. */
    record SeenAttempt(String id, long beganNs) {}

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final List<SeenAttempt> attempts = new CopyOnWriteArrayList<>();
    private final Function<String, String> answers;

    /** Starts workers; {@code answers} returns the whole HTTP answer to the request with an id. */
    RecordingWorkers(int count, Function<String, String> answers) throws IOException {
        this.answers = answers;
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            listeners.add(socket);
            startDaemon(() -> accept(socket));
        }
    }

    /** The answer of a worker that has done a job. */
    static String done(String id) {
        return firstLine("{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n") + "0\r\n\r\n";
    }

    /** The answer of a worker that has started a job and never completes it. */
    static String started(String id) {
        return firstLine("{\"id\":\"" + id + "\",\"state\":\"started\"}\n");
    }

    private static String firstLine(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length()) + "\r\n"
                + line + "\r\n";
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(null, task, "recording worker", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                startDaemon(() -> serve(connection));
            } catch (IOException e) {
                return; // the listener is closed
            }
        }
    }

    private void serve(Socket connection) {
        try (connection;
                InputStream input = new BufferedInputStream(connection.getInputStream())) {
            for (int first = input.read(); first >= 0; first = input.read()) {
                long beganNs = System.nanoTime();
                String head = readHead(first, input);
                Matcher length = LENGTH.matcher(head);
                input.skipNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                Matcher id = ID.matcher(head);
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + STATS.length() + "\r\n\r\n" + STATS;
                if (id.find()) {
                    attempts.add(new SeenAttempt(id.group(1), beganNs));
                    answer = answers.apply(id.group(1));
                }
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return; // the scheduler closes the connections of attempts that it gives up
        }
    }

    private static String readHead(int first, InputStream input) throws IOException {
        StringBuilder head = new StringBuilder().append((char) first);
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended in a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Returns the workers' entries of a node list. */
    String lines() {
        return IntStream.range(0, listeners.size())
                .mapToObj(i -> "{\"host\":\"w" + i + "\",\"dial\":\"127.0.0.1:"
                        + listeners.get(i).getLocalPort()
                        + "\",\"site\":\"p\",\"class\":\"k\",\"health\":\"up\",\"share\":1.0,\"born_ms\":0}")
                .collect(Collectors.joining(","));
    }

    /** Returns whether a worker has seen the request with an id. */
    boolean hasTaken(String id) {
        return attempts.stream().anyMatch(attempt -> attempt.id().equals(id));
    }

    /** Returns the attempts seen so far, in the order in which their requests were complete. */
    List<SeenAttempt> attempts() {
        return List.copyOf(attempts);
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : listeners) {
            socket.close();
        }
    }
}
