import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests on resting connections between SIGTERM and SIGKILL, while the workers hang and the process is held up. */
final class Shutdown {
    private static final int CONNECTIONS = 120;
    private static final long KILL_AFTER_MS = 3700;

    public static void main(String[] arguments) {
        Lab.main(arguments[0], Shutdown::play);
    }

    private static String play(Lab lab) throws Exception {
        List<Platform.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            nodes.add(new Platform.Node(lab, "s-" + i, 20, 40, 60_000)); // they hang
        }
        Platform.Discovery discovery = new Platform.Discovery(nodes, "plant-1");
        Lab.Scheduler scheduler = Platform.scheduler(lab, nodes, discovery, 192, 1024);
        scheduler.start();
        scheduler.awaitReady(false);
        Lab.pause(1000);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", scheduler.http), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            connections.add(socket);
            socket.getOutputStream().write(Platform.ascii("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"));
            Platform.read(socket.getInputStream());
        }
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closedBefore = new AtomicInteger();
        long terminated = lab.now();
        scheduler.terminate();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            int number = i;
            clients.add(Platform.daemon("client-" + i, () -> {
                Socket socket = connections.get(number);
                long sentAt = 200 + 3400L * number / CONNECTIONS;
                try {
                    Lab.pause(terminated + sentAt - lab.now());
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    byte[] request = Platform.job(
                            number % 2 == 0 ? "pickup-order" : "route-plan", String.format("%016x", 0xd0000 + number), 8000, new byte[50]);
                    int first = number % 3 == 0 ? request.length / 2 : request.length;
                    socket.getOutputStream().write(request, 0, first);
                    if (first < request.length) {
                        Lab.pause(100);
                        socket.getOutputStream().write(request, first, request.length - first);
                    }
                    Platform.Message answer = Platform.read(in);
                    long at = lab.now() - terminated;
                    if (answer == null) {
                        closedBefore.incrementAndGet(); // an end without a reset: the request was not read, and is sent anew
                        lab.note("client-" + number, "sent at " + sentAt + ", closed in order at " + at);
                    } else {
                        answered.incrementAndGet();
                        lab.note("client-" + number, "sent at " + sentAt + ", gets " + answer.start() + " at " + at);
                    }
                } catch (IOException e) {
                    long at = lab.now() - terminated;
                    lab.note("client-" + number, "sent at " + sentAt + ", gets " + e + " at " + at);
                    if (e.getMessage() != null && e.getMessage().contains("Broken pipe")) {
                        closedBefore.incrementAndGet(); // not whole before its connection had ended: never taken
                    } else {
                        lost.incrementAndGet();
                    }
                }
            }));
        }
        while (lab.now() < terminated + KILL_AFTER_MS && scheduler.alive()) {
            if (lab.trouble) {
                scheduler.stop();
                Lab.pause(140);
                scheduler.resume();
                Lab.pause(100 + (long) (Math.random() * 300));
            } else {
                Lab.pause(20);
            }
        }
        lab.note("lab", "alive until " + (lab.now() - terminated));
        if (scheduler.alive()) {
            scheduler.kill();
        }
        for (Thread client : clients) {
            client.join(5000);
        }
        lab.note("judge", answered + " answered, " + closedBefore + " closed in order, " + lost + " reset");
        return lost.get() > 0 ? lost + " requests were reset without an answer" : null;
    }
}
