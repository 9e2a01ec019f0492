import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** Stand-ins for the platform: discovery, route nodes that run jobs in slots, and one scheduler's configuration. */
final class Platform {
    private Platform() {}

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A request or an answer: start line, fields by lower-case name, body. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        String path() {
            return start.split(" ")[1];
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message whose body has a stated length; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new Message(start, fields, body);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A request that hands in a job. */
    static byte[] job(String jobClass, String id, long remainingMs, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream(body.length + 200);
        all.write(ascii("POST /" + jobClass + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id + "\r\nX-Lane: " + jobClass
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
        all.write(body);
        return all.toByteArray();
    }

    /** A route node: takes jobs, runs as many as it has slots in the order in which they came, refuses beyond its room. */
    static final class Node {
        final ServerSocket server = listen();
        private final Lab lab;
        private final String name;
        private final Semaphore slots;
        private final int room;
        private final long serviceMs;
        private int held;

        Node(Lab lab, String name, int slots, int room, long serviceMs) throws IOException {
            this.lab = lab;
            this.name = name;
            this.slots = new Semaphore(slots, true);
            this.room = room;
            this.serviceMs = serviceMs;
            daemon(name, () -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(name, () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private synchronized boolean enter() {
            if (held >= room) {
                return false;
            }
            held++;
            return true;
        }

        private synchronized void leave() {
            held--;
        }

        private synchronized String stats() {
            return "{\"inflight\":" + Math.min(held, slots.availablePermits() + held) + ",\"queue\":"
                    + Math.max(0, held - slots.availablePermits()) + ",\"latency_ms\":" + serviceMs + ",\"x0\":"
                    + slots.availablePermits() + "}";
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message request = read(in); request != null; request = read(in)) {
                    String id = request.fields.get("x-txn");
                    if (request.path().equals("/stats") || request.path().equals("/health/live")) {
                        String body = request.path().equals("/stats") ? stats() : "";
                        out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
                    } else if (!enter()) {
                        out.write(ascii("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"));
                    } else {
                        try {
                            out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                            out.flush();
                            slots.acquireUninterruptibly();
                            try {
                                lab.note(name, "runs " + id);
                                String head = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":";
                                chunk(out, head + "\"started\"}\n");
                                Lab.pause(serviceMs);
                                chunk(out, head + "\"done\",\"result\":\"result of " + id + "\"}\n");
                            } finally {
                                slots.release();
                            }
                            out.write(ascii("0\r\n\r\n"));
                        } finally {
                            leave();
                        }
                    }
                    out.flush();
                }
            } catch (IOException e) {
                // the scheduler has closed the connection
            }
        }
    }

    /** Discovery: answers each watch with the whole list, then an empty line every 2 s. */
    static final class Discovery {
        final ServerSocket server = listen();
        private final String list;

        Discovery(List<Node> nodes, String plant) throws IOException {
            list = list(nodes, plant);
            daemon("discovery", () -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        daemon("discovery", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        static String list(List<Node> nodes, String plant) {
            List<String> hosts = new ArrayList<>();
            for (Node node : nodes) {
                hosts.add("{\"host\":\"" + node.name + "\",\"dial\":\"127.0.0.1:" + node.server.getLocalPort()
                        + "\",\"site\":\"" + plant
                        + "\",\"class\":\"medium\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}");
            }
            return "{\"seq\":41,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Message request = read(in);
                if (request == null) {
                    return;
                }
                if (!request.path().contains("follow=1")) {
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                    return;
                }
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                Node.chunk(out, list + "\n");
                while (true) {
                    Lab.pause(2000);
                    Node.chunk(out, "\n");
                }
            } catch (IOException e) {
                // the watch has ended
            }
        }
    }

    /** The settings of the deployment laundry-dispatch, by the wire page's example. */
    private static final String SETTINGS =
            """
            {"balancers": 3, "index": 0, "locality": 0, "dcs": ["plant-1", "plant-2", "plant-3"],
             "shapes": ["large", "medium", "small"], "layers": ["route-nodes"], "tier": 0, "family": "jobs",
             "membershipMode": "on_request", "granularityMs": 2.0, "weights": "rough", "worthBy": "work", "tenants": [],
             "classes": [
              {"deadlineMs": 8000.0, "effect": "free", "importance": 1.0, "keyScope": "all", "lateWorth": 0.0,
               "name": "route-plan", "sloMs": 600.0, "stream": false, "windowMs": 5000.0},
              {"deadlineMs": 20000.0, "effect": "single_shot", "importance": 10.0, "keyScope": "all", "lateWorth": 0.0,
               "name": "pickup-order", "sloMs": 400.0, "stream": false, "windowMs": 5000.0}],
             "clients": {"marksRetry": false},
             "ceilings": {"cancelling": true, "cpuUsPerRequest": 10.0, "cpuUsPerS": 8000, "dialTimeoutMs": 250.0,
              "keepaliveMs": 5000.0, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterMs": 2000.0, "multiplex": 1,
              "parallelTries": false, "peers": false, "probes": true, "retryAfter": false},
             "familyInfo": {"classKind": [-1, -1], "classPriority": [0, 1], "classStretch": [2.0, 2.0],
              "progressMs": 2000.0, "queueOrder": "fifo", "reportX0": "free slots", "tellsStart": true},
             "fees": {"crossZone": 0.03, "lateFail": 0.05, "membershipMode": 0.01, "probe": 0.0016, "waste": 0.015},
             "report": {"fields": ["latency_ms", "inflight", "queue", "x0"], "via": "pull"},
             "rules": {"coldFrom": 0.32, "coldMs": 8900.0, "fallMs": 1000.0, "fallMultiple": 3.0, "graceToAnswerMs": 8.0,
              "mustAskInMs": 10000.0, "stopSendingWithinMs": 400.0}}""";

    /** One scheduler of the platform with the given limits. */
    static Lab.Scheduler scheduler(Lab lab, List<Node> nodes, Discovery discovery, int memoryMb, int sockets)
            throws IOException {
        int port = Lab.freePorts(1)[0];
        Path config = lab.temp.resolve("n1.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.server.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n"
                        + "\"known\":" + Discovery.list(nodes, "plant-1") + ",\n\"settings\":" + SETTINGS + "}\n");
        return lab.scheduler("n1", config, port, 0);
    }
}
