import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send hundreds of requests at once and read what they are sent; the process has to go on. */
final class Flood {
    /** With the usual clients under a third of the descriptors. */
    private static final int BAD_CLIENTS = 330;

    private static final int AT_ONCE = 200;
    private static final int BODY_BYTES = 30_000;
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final long PLAY_MS = 60_000;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], Flood::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Platform.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            nodes.add(new Platform.Node(lab, "s-" + i, 2, 8, 1200));
        }
        Platform.Discovery discovery = new Platform.Discovery(nodes, "plant-1");
        Lab.Scheduler scheduler = Platform.scheduler(lab, nodes, discovery, MEMORY_MB, SOCKETS);
        scheduler.start();
        scheduler.awaitReady(false);
        Lab.pause(1500);
        ConcurrentHashMap<String, AtomicInteger> counts = new ConcurrentHashMap<>();
        long end = lab.now() + PLAY_MS;
        for (int i = 0; i < 10; i++) {
            int number = i;
            Platform.daemon("client-" + i, () -> usual(lab, scheduler, number, end, counts));
        }
        Lab.pause(3000);
        if (lab.trouble) {
            lab.note("lab", BAD_CLIENTS + " bad clients come, each with " + AT_ONCE + " requests at once");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                Platform.daemon("bad-" + i, () -> bad(lab, scheduler, number, end, counts));
                Lab.pause(2);
            }
        }
        while (lab.now() < end + 5000 && scheduler.alive()) {
            Lab.pause(50);
        }
        boolean alive = scheduler.alive();
        lab.note("lab", alive ? "the scheduler runs" : "the scheduler HAS ENDED by itself");
        Lab.pause(500);
        counts.entrySet().stream()
                .sorted(java.util.Map.Entry.comparingByKey())
                .forEach(e -> lab.note("count", e.getKey() + ": " + e.getValue()));
        if (!alive) {
            lab.note("log n1", scheduler.tail());
        }
        return alive ? null : "the scheduler's process has crashed";
    }

    private static void count(ConcurrentHashMap<String, AtomicInteger> counts, String what) {
        counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
    }

    private static Socket connect(Lab.Scheduler scheduler, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", scheduler.http), 3000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        return socket;
    }

    /** A usual client: one request at a time on a connection that it keeps. */
    private static void usual(
            Lab lab, Lab.Scheduler scheduler, int number, long end, ConcurrentHashMap<String, AtomicInteger> counts) {
        int sent = 0;
        while (lab.now() < end && scheduler.alive()) {
            try (Socket socket = connect(scheduler, 21_000)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (lab.now() < end) {
                    boolean order = sent % 10 < 3;
                    String id = String.format("%08x%08x", 0xc0000000 + number, sent++);
                    socket.getOutputStream()
                            .write(Platform.job(
                                    order ? "pickup-order" : "route-plan", id, order ? 20_000 : 8_000, new byte[200]));
                    long begun = lab.now();
                    Platform.Message answer = Platform.read(in);
                    String ending = answer == null ? "the connection has ended" : answer.start();
                    count(counts, "usual clients, " + ending);
                    lab.note("client-" + number, id + " gets " + ending + " after " + (lab.now() - begun) + " ms");
                    if (answer == null) {
                        break;
                    }
                    Lab.pause(300);
                }
            } catch (IOException e) {
                count(counts, "usual clients, " + e);
                lab.note("client-" + number, "gets " + e);
                Lab.pause(300);
            }
        }
    }

    /** A bad client: hundreds of requests at once, the same again as soon as it is turned away; it reads what it is sent. */
    private static void bad(
            Lab lab, Lab.Scheduler scheduler, int number, long end, ConcurrentHashMap<String, AtomicInteger> counts) {
        int sent = 0;
        while (lab.now() < end && scheduler.alive()) {
            try (Socket socket = connect(scheduler, 25_000)) {
                OutputStream out = socket.getOutputStream();
                InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
                int first = sent;
                sent += AT_ONCE;
                Platform.daemon("bad-" + number + "-out", () -> {
                    try {
                        for (int i = 0; i < AT_ONCE; i++) {
                            String id = String.format("%08x%08x", 0xb0000000 + number, first + i);
                            out.write(Platform.job(
                                    "pickup-order", id, 20_000, new byte[BODY_BYTES]));
                        }
                        out.flush();
                    } catch (IOException e) {
                        // closed meanwhile
                    }
                });
                for (int i = 0; i < AT_ONCE; i++) {
                    Platform.Message answer = Platform.read(in);
                    count(counts, "bad clients, " + (answer == null ? "the connection has ended" : answer.start()));
                    if (answer == null) {
                        break;
                    }
                }
            } catch (IOException e) {
                count(counts, "bad clients, " + e);
                Lab.pause(100);
            }
        }
    }
}
