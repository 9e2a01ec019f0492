package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumpost.Scenario;
import plumpost.lab.SchedulerProcess;

/** Tests a process whose clients leave while much of what they sent is still unread. */
class DepartedClientsIT {
    private static final int CLIENTS = 12;
    private static final int WORKERS = 8;
    /** An attempt that begins later than this after its client's close is a lost request. */
    private static final long MAX_ATTEMPT_DELAY_MS = 100;

    private static final long TIMEOUT_MS = 20_000;
    private static final int BODY_BYTES = 2_000;

    @TempDir
    private Path folder;

    /** How many bytes of further requests a client has sent, and how it leaves. */
    enum Departure {
        FIN_BEHIND_NOTHING(0),
        FIN_BEHIND_100_KB(100_000),
        FIN_BEHIND_400_KB(400_000),
        FIN_BEHIND_3_MB(3_000_000),
        HALF_CLOSE_BEHIND_400_KB(400_000),
        RESET_BEHIND_100_KB(100_000);

        private final int bytesBehind;

        Departure(int bytesBehind) {
            this.bytesBehind = bytesBehind;
        }

        void leave(Socket client) throws IOException {
            if (this == RESET_BEHIND_100_KB) {
                client.setSoLinger(true, 0);
            }
            if (this == HALF_CLOSE_BEHIND_400_KB) {
                client.shutdownOutput();
            } else {
                client.close();
            }
        }
    }

    private static byte[] requests(Departure departure, int client) {
        StringBuilder text = new StringBuilder(request("first-" + client, client));
        for (int i = 0; text.length() < departure.bytesBehind; i++) {
            text.append(request("behind-" + client + "-" + i, client));
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static String request(String id, int client) {
        return "POST /" + (client % 2 == 0 ? "route-plan" : "pickup-order") + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES);
    }

    private Path configuration(RecordingWorkers workers) throws IOException {
        return Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"limits\":{\"sockets\":1024},"
                        + "\"log\":{\"level\":\"debug\"},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
                        + workers.lines() + "]},\"settings\":" + Scenario.SETTINGS + "}");
    }

    private static void awaitFirstAttempts(RecordingWorkers workers) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (workers.attempts().size() < WORKERS) {
            assertThat(System.nanoTime()).as("the first attempts").isLessThan(endNs);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Sends all requests from one thread per client, since a client's write blocks while the scheduler does not read. */
    private static List<Thread> send(Departure departure, List<Socket> clients) {
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            Socket client = clients.get(i);
            byte[] requests = requests(departure, i);
            Thread writer = new Thread(() -> {
                try {
                    client.getOutputStream().write(requests);
                } catch (IOException e) {
                    return; // the client has left
                }
            });
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
        return writers;
    }

    /** Guards against a client's end that is not heard while bytes that it sent are unread, so that its requests go on. */
    @ParameterizedTest
    @EnumSource
    @Timeout(120)
    void nothingIsSentOnAfterItsClientLeft(Departure departure) throws Exception {
        CountDownLatch clientsLeft = new CountDownLatch(1);
        Map<String, Long> leftNs = new ConcurrentHashMap<>();
        try (RecordingWorkers workers = new RecordingWorkers(WORKERS, id -> {
                    await(clientsLeft);
                    return RecordingWorkers.TURNED_AWAY;
                });
                SchedulerProcess scheduler = new SchedulerProcess(configuration(workers))) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket(
                        scheduler.front().getAddress(), scheduler.front().getPort()));
            }
            List<Thread> writers = send(departure, clients);
            awaitFirstAttempts(workers);
            for (Thread writer : writers) {
                writer.join(500);
            }
            for (int i = 0; i < CLIENTS; i++) {
                leftNs.put(Integer.toString(i), System.nanoTime());
                departure.leave(clients.get(i));
            }
            TimeUnit.MILLISECONDS.sleep(MAX_ATTEMPT_DELAY_MS);
            int attemptsBefore = workers.attempts().size();
            clientsLeft.countDown();
            TimeUnit.MILLISECONDS.sleep(1_500); // attempts follow each other within milliseconds
            List<String> late = new ArrayList<>();
            for (RecordingWorkers.SeenAttempt attempt : workers.attempts()) {
                String client = attempt.id().split("-")[1];
                long delayMs = TimeUnit.NANOSECONDS.toMillis(attempt.beganNs() - leftNs.get(client));
                if (delayMs > MAX_ATTEMPT_DELAY_MS) {
                    late.add(attempt.id() + " +" + delayMs + " ms");
                }
            }
            assertThat(attemptsBefore).isPositive();
            assertThat(late)
                    .as("attempts that began over 0.1 s after the client left; log %s", scheduler.log())
                    .isEmpty();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
