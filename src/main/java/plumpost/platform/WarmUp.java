package plumpost.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.function.Function;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.http.AnswerEncoder;
import plumpost.http.BadMessageException;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.Network;
import plumpost.time.TimerWheel;

/**
 * Warms the program up before it reports that it is ready. A separate scheduler in memory, with its own core, clock and
 * counters, serves jobs through all classes on the request path, so that these are loaded when the first real job comes.
 */
public final class WarmUp implements Network {
    private static final int JOBS = 20;
    private static final int CLIENT_BYTES = 1 << 20;
    private static final String NODE_LIST =
            "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"r\",\"dial\":\"127.0.0.1:1\","
                    + "\"health\":\"up\",\"share\":1.0,\"born_ms\":0}]}";

    private final ArrayDeque<Runnable> pendingTasks = new ArrayDeque<>();
    private double nowMs = 1;

    /** Runs the warm-up; returns the number of jobs answered with status 200. */
    public static long run(NodeConfig config) {
        return new WarmUp().serveJobs(config);
    }

    private long serveJobs(NodeConfig original) {
        NodeConfig config = new NodeConfig(
                original.name(),
                original.listen(),
                new InetSocketAddress("127.0.0.1", 2),
                1,
                1024,
                original.settings(),
                original.rawSettings(),
                Json.object("rehearsal", NODE_LIST.getBytes(StandardCharsets.US_ASCII)),
                null,
                null,
                null);
        TimerWheel wheel = new TimerWheel(nowMs);
        Counters counters = new Counters();
        DispatchCore core = new DispatchCore(
                config.settings(),
                1,
                () -> nowMs,
                wheel,
                counters,
                new DispatchCore.Bounds(JOBS, 1 << 20, 16, 1 << 16),
                line -> {});
        Platform platform = new Platform(
                config, core, new LoopContext(this, () -> nowMs, wheel, counters, line -> {}), () -> 0, CLIENT_BYTES);
        platform.start();
        MemoryConnection client = new MemoryConnection();
        ConnectionHandler handler = platform.accept(client);
        for (int i = 0; i < JOBS; i++) {
            String className = config.settings()
                    .classes()
                    .get(i % config.settings().classes().size())
                    .name();
            handler.received(AnswerEncoder.ascii(
                    "POST /" + className + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + i + "\r\nX-Lane: " + className
                            + "\r\nX-Remaining-Ms: 500\r\nX-Estimate: 1000\r\nContent-Length: 4\r\n\r\nbody"));
            for (double roundEndMs = nowMs + 20; nowMs < roundEndMs; nowMs += TimerWheel.TICK_MS) {
                for (Runnable task = pendingTasks.poll(); task != null; task = pendingTasks.poll()) {
                    task.run();
                }
                wheel.advanceTo(nowMs);
            }
        }
        return counters.get("front.answers.200");
    }

    @Override
    public Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
        MemoryConnection connection = new MemoryConnection();
        connection.handler = handlers.apply(connection);
        pendingTasks.add(connection.handler::opened);
        return connection;
    }

    @Override
    public void runNextTurn(Runnable task) {
        pendingTasks.add(task);
    }

    /** A connection whose remote end answers requests like a route node and like discovery. */
    private final class MemoryConnection implements Connection {
        private final RequestReader reader = new RequestReader(1024);
        private ConnectionHandler handler;

        @Override
        public void write(ByteBuffer... parts) {
            if (handler == null) {
                return; // the client's end
            }
            boolean complete = false;
            try {
                for (ByteBuffer part : parts) {
                    complete = reader.feed(part.duplicate());
                }
            } catch (BadMessageException e) {
                throw new IllegalStateException(e);
            }
            if (!complete) {
                handler.flushed(); // an order's last byte is written later, and an answer before it would not count
                return;
            }
            String id = reader.head().field("X-Txn");
            String path = reader.path();
            reader.reset();
            handler.flushed();
            pendingTasks.add(() -> handler.received(AnswerEncoder.ascii(
                    id != null
                            ? progressLines(id)
                            : path.equals("/stats")
                                    ? "HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\ninflight=1,queue=0,x0=2,latency_ms=3"
                                    : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + Integer.toHexString(NODE_LIST.length()) + "\r\n" + NODE_LIST + "\r\n")));
        }

        private static String progressLines(String id) {
            StringBuilder response = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (String state : new String[] {"started", "running", "done"}) {
                String line = "{\"id\":\"" + id + "\",\"state\":\"" + state + "\",\"share\":0.5,\"result\":\"r\"}\n";
                response.append(Integer.toHexString(line.length()))
                        .append("\r\n")
                        .append(line)
                        .append("\r\n");
            }
            return response.append("0\r\n\r\n").toString();
        }

        @Override
        public boolean flushed() {
            return true;
        }

        @Override
        public void finish() {}

        @Override
        public void closeNow() {}

        @Override
        public boolean readAvailable() {
            return true;
        }
    }
}
