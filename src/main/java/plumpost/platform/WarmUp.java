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
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.http.RequestReader;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.Network;
import plumpost.time.TimerWheel;

/**
 * Warms the program up before it says that it is ready: a scheduler of its own, in memory, with a ledger, clock and
 * counters of its own, serves jobs through every machine on the path, so that the first real ones find it all loaded.
 */
public final class WarmUp implements Network {
    private static final int JOBS = 20;
    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"r\",\"dial\":\"127.0.0.1:1\","
            + "\"health\":\"up\",\"share\":1.0,\"born_ms\":0}]}";

    private final ArrayDeque<Runnable> soon = new ArrayDeque<>();
    private double now = 1;

    /** Plays the rehearsal; returns the answers that front desks got. */
    public static long play(NodeConfig config) {
        return new WarmUp().serve(config);
    }

    private long serve(NodeConfig like) {
        NodeConfig config = new NodeConfig(
                like.name(),
                like.listen(),
                new InetSocketAddress("127.0.0.1", 2),
                1,
                1024,
                like.settings(),
                like.raw(),
                Json.object("rehearsal", LIST.getBytes(StandardCharsets.US_ASCII)),
                null,
                null,
                null);
        TimerWheel wheel = new TimerWheel(now);
        Counters counters = new Counters();
        DispatchCore room = new DispatchCore(
                config.settings(),
                1,
                () -> now,
                wheel,
                counters,
                new DispatchCore.Bounds(JOBS, 1 << 20, 16, 1 << 16),
                words -> {});
        Platform platform =
                new Platform(config, room, new LoopContext(this, () -> now, wheel, counters, words -> {}), () -> 0);
        platform.begin();
        MemoryConnection desk = new MemoryConnection();
        ConnectionHandler front = platform.accept(desk);
        for (int i = 0; i < JOBS; i++) {
            String cls = config.settings()
                    .classes()
                    .get(i % config.settings().classes().size())
                    .name();
            front.bytes(Answers.ascii("POST /" + cls + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + i + "\r\nX-Lane: " + cls
                    + "\r\nX-Remaining-Ms: 500\r\nX-Estimate: 1000\r\nContent-Length: 4\r\n\r\nbody"));
            for (double end = now + 20; now < end; now += TimerWheel.TICK_MS) {
                for (Runnable r = soon.poll(); r != null; r = soon.poll()) {
                    r.run();
                }
                wheel.turnTo(now);
            }
        }
        return counters.of("front.answers.200");
    }

    @Override
    public Connection dial(InetSocketAddress to, Function<Connection, ConnectionHandler> user) {
        MemoryConnection m = new MemoryConnection();
        m.user = user.apply(m);
        soon.add(m.user::opened);
        return m;
    }

    /** A connection whose other end answers requests as a route node does, and as discovery does. */
    private final class MemoryConnection implements Connection {
        private final RequestReader reader = new RequestReader(1024);
        private ConnectionHandler user;

        @Override
        public void write(ByteBuffer... parts) {
            if (user == null) {
                return; // the front desk's end
            }
            boolean whole = false;
            try {
                for (ByteBuffer p : parts) {
                    whole = reader.feed(p.duplicate());
                }
            } catch (BadMessage e) {
                throw new IllegalStateException(e);
            }
            if (!whole) {
                user.flushed(); // an order's last byte follows by itself; an answer before it would be none
                return;
            }
            String id = reader.head().field("X-Txn");
            String path = reader.path();
            reader.next();
            user.flushed();
            soon.add(() -> user.bytes(Answers.ascii(
                    id != null
                            ? lines(id)
                            : path.equals("/stats")
                                    ? "HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\ninflight=1,queue=0,x0=2,latency_ms=3"
                                    : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n")));
        }

        private static String lines(String id) {
            StringBuilder all = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (String state : new String[] {"started", "running", "done"}) {
                String line = "{\"id\":\"" + id + "\",\"state\":\"" + state + "\",\"share\":0.5,\"result\":\"r\"}\n";
                all.append(Integer.toHexString(line.length()))
                        .append("\r\n")
                        .append(line)
                        .append("\r\n");
            }
            return all.append("0\r\n\r\n").toString();
        }

        @Override
        public boolean flushed() {
            return true;
        }

        @Override
        public void finish() {}

        @Override
        public void cut() {}

        @Override
        public void look() {}
    }
}
