package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import plumpost.Scenario;
import plumpost.lab.SchedulerProcess;

/** Tests a process with the deploy file's heap while many clients send far more than they wait for. */
class ClientFloodIT {
    private static final int FLOODING_CLIENTS = 450;
    private static final long HEAP_BYTES = 76L << 20;
    /** What all connections together may hold beyond the limit: 4 KiB each, and one read that crosses the limit. */
    private static final long GUARANTEED_BYTES = (FLOODING_CLIENTS + 10) * 4L * 1024 + 128 * 1024;

    private static final int BODY_BYTES = 30_000;
    private static final long FLOOD_NS = TimeUnit.SECONDS.toNanos(12);
    /** The time within which another client is served during the flood, and after it. */
    private static final int MAX_ANSWER_MS = 2_000;

    @TempDir
    private Path folder;

    private static byte[] job(int bodyBytes) {
        String head = "POST /route-plan HTTP/1.1\r\nHost: h\r\nX-Txn: " + Math.abs(System.nanoTime())
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        return (head + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
    }

    private static Socket connect(InetSocketAddress address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, timeoutMs);
        socket.setSoTimeout(timeoutMs);
        return socket;
    }

    /** Sends requests as fast as they are taken, reads all answers, and comes again when it is turned away. */
    private static void flood(InetSocketAddress address, long endNs, Collection<Socket> open) {
        while (System.nanoTime() < endNs) {
            try (Socket socket = connect(address, MAX_ANSWER_MS)) {
                open.add(socket);
                daemon(() -> discardInput(socket));
                while (System.nanoTime() < endNs) {
                    socket.getOutputStream().write(job(BODY_BYTES));
                }
            } catch (IOException e) {
                continue; // turned away: comes again
            }
        }
    }

    private static void discardInput(Socket socket) {
        byte[] bytes = new byte[4096];
        try (InputStream input = socket.getInputStream()) {
            while (input.read(bytes) >= 0) {
                continue;
            }
        } catch (IOException e) {
            return; // the connection has ended
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "flooding client", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String answerTo(InetSocketAddress address, byte[] request) {
        try (Socket socket = connect(address, MAX_ANSWER_MS)) {
            socket.getOutputStream().write(request);
            byte[] answer = new byte[64];
            int length = socket.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, length), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "no answer: " + e;
        }
    }

    /**
     * Guards against a process that runs out of heap: requests that 450 clients sent ahead of their answers were kept in memory,
     * up to 192 KiB for each connection, and no limit counted them together.
     */
    @Test
    @Timeout(90)
    void requestsSentAheadOfAnswersDoNotExhaustTheHeap() throws Exception {
        String shortDeadline = Scenario.SETTINGS.replace("\"deadlineMs\":8000.0", "\"deadlineMs\":400.0");
        Path file = Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"limits\":{\"sockets\":1024},"
                        + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":" + shortDeadline + "}");
        try (SchedulerProcess scheduler = new SchedulerProcess(file)) {
            byte[] liveness = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            long endNs = System.nanoTime() + FLOOD_NS;
            Collection<Socket> open = new ConcurrentLinkedQueue<>();
            for (int i = 0; i < FLOODING_CLIENTS; i++) {
                daemon(() -> flood(scheduler.front(), endNs, open));
            }
            while (System.nanoTime() < endNs) {
                assertThat(answerTo(scheduler.front(), liveness))
                        .as("another client during the flood; log %s", scheduler.log())
                        .startsWith("HTTP/1.1 200 ");
                TimeUnit.MILLISECONDS.sleep(200);
            }
            for (Socket socket : open) {
                socket.close(); // ends the clients that are blocked in a write
            }
            assertThat(answerTo(scheduler.front(), job(BODY_BYTES)))
                    .as("a job after the flood, which no node can run")
                    .startsWith("HTTP/1.1 50");
            long heldBytes = Long.parseLong(
                    scheduler.httpGet("/counters").replaceAll("(?s).*front.client_bytes.peak ([0-9]+).*", "$1"));
            assertThat(heldBytes).isLessThan(Serve.clientBytes(HEAP_BYTES) + GUARANTEED_BYTES);
        }
    }
}
