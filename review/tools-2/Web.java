import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Stand-ins on HTTP/1.1 by the protocol page: messages, a client, a route node and discovery. */
final class Web {
    private Web() {}

    /** A message: its start line, its fields in lower case and its body. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.get(name);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads a whole message of a known length; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new Message(start, fields, body);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends one job as a client does, and returns the answer; null if the connection ended without one. */
    static Message job(int port, String jobClass, String id, int remainingMs, String body) throws IOException {
        try (Client client = new Client(port)) {
            return client.job(jobClass, id, remainingMs, body);
        }
    }

    /** A client's connection, which stays open for one job after the other. */
    static final class Client implements java.io.Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a job and waits for its answer; null if the connection ended without one. */
        Message job(String jobClass, String id, int remainingMs, String body) throws IOException {
            socket.setSoTimeout(remainingMs + 5000);
            socket.getOutputStream()
                    .write(ascii("POST /" + jobClass + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id + "\r\nX-Lane: "
                            + jobClass + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nContent-Length: "
                            + ascii(body).length + "\r\n\r\n" + body));
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Sends a call without a body. */
    static Message call(int port, String method, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(ascii(method + " " + path + " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"));
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Waits until a scheduler says that it is ready. */
    static void awaitReady(Rig rig, int port, double ms) {
        for (double end = rig.nowMs() + ms; rig.nowMs() < end; Rig.sleep(30)) {
            try {
                Message answer = call(port, "GET", "/health/ready");
                if (answer != null && answer.status() == 200) {
                    rig.note("ready on port " + port);
                    return;
                }
            } catch (IOException e) {
                // it does not listen yet
            }
        }
        throw new Rig.CannotRun("not ready on port " + port);
    }

    /** Handles one connection of a server. */
    interface Service {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Listens on a free port; each connection is served by a thread of its own. */
    static ServerSocket listen(String address, Service service) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 512);
        daemon(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> {
                    try (socket) {
                        service.serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
        return server;
    }

    /** A step that may fail, as when a peer has closed its connection. */
    interface Step {
        void run() throws Exception;
    }

    static Thread daemon(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                // a connection that has ended ends its thread
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.write(ascii(Integer.toHexString(bytes.length) + "\r\n"));
        chunk.write(bytes);
        chunk.write(ascii("\r\n"));
        out.write(chunk.toByteArray());
        out.flush();
    }

    /** What a route node makes of a job: its result, once it has run. */
    interface Work {
        String run(Message request) throws Exception;
    }

    /** A sound route node: tells its load, takes jobs, tells their start and their result. */
    static ServerSocket routeNode(String host, Work work) throws IOException {
        return listen("127.0.0.1", (socket, in, out) -> {
            for (Message request = read(in); request != null; request = read(in)) {
                if (request.start().startsWith("GET /stats ")) {
                    String load = "{\"latency_ms\":20,\"inflight\":0,\"queue\":0,\"x0\":4}";
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load));
                    continue;
                } else if (request.start().startsWith("GET ")) {
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                String head = "{\"id\":\"" + request.field("x-txn") + "\",\"from\":\"" + host + "\",\"state\":";
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                chunk(out, head + "\"started\"}\n");
                String result = work.run(request);
                chunk(out, head + "\"done\",\"result\":\"" + result + "\"}\n");
                out.write(ascii("0\r\n\r\n"));
                out.flush();
            }
        });
    }

    /** A route node as discovery lists it. */
    static String entry(String host, int port, String site, String health, long bornMs) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + site
                + "\",\"class\":\"large\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    /** Discovery: tells the whole list first, then each change, and an empty line every 2 s. */
    static final class Discovery {
        final ServerSocket server;
        private final List<String> whole = new ArrayList<>();
        private final List<OutputStream> watches = new ArrayList<>();
        private long version = 1;

        Discovery(List<String> entries) throws IOException {
            whole.addAll(entries);
            server = listen("127.0.0.1", (socket, in, out) -> {
                Message request = read(in);
                synchronized (this) {
                    String list = "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", whole) + "]}\n";
                    if (!request.start().contains("follow=1")) {
                        out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                        return;
                    }
                    out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    chunk(out, list);
                    watches.add(out);
                }
                daemon(() -> {
                    while (!socket.isClosed()) {
                        Rig.sleep(2000);
                        synchronized (this) {
                            chunk(out, "\n");
                        }
                    }
                });
                while (in.read() >= 0) {
                    continue; // a caller says nothing more; its end ends the watch
                }
                synchronized (this) {
                    watches.remove(out);
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        synchronized int openWatches() {
            return watches.size();
        }

        /** Changes the entry of one route node, and tells it on all open watches; returns how many those are. */
        synchronized int change(int index, String entry) {
            whole.set(index, entry);
            version++;
            String line = "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + entry + "]}\n";
            int told = 0;
            for (OutputStream watch : List.copyOf(watches)) {
                try {
                    chunk(watch, line);
                    told++;
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
            return told;
        }
    }
}
