package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumpost.Scenario;
import plumpost.UnsoundRequests;
import plumpost.lab.SchedulerProcess;

/** Tests that a real process answers no request that is not sound as served. */
class UnsoundRequestsIT {
    private static final int WORKERS = 8;
    /** A request that is not sound is owed an error or a close within this time. */
    private static final int ERROR_WITHIN_MS = 3_000;

    private static final int TIMEOUT_MS = 20_000;
    private static final int STRANGERS = 20;

    @TempDir
    private Path folder;

    /** What the strangers know of the owner's request, and when they send it. */
    enum Moment {
        SAME_BODY,
        OTHER_BODY,
        OWNER_LEAVES,
        REPEATABLE_CLASS,
        AFTER_THE_END,
        AFTER_THE_END_REPEATABLE_CLASS;

        String jobClass() {
            return this == REPEATABLE_CLASS || this == AFTER_THE_END_REPEATABLE_CLASS ? "route-plan" : "pickup-order";
        }

        boolean afterTheEnd() {
            return this == AFTER_THE_END || this == AFTER_THE_END_REPEATABLE_CLASS;
        }
    }

    private static String request(String jobClass, String id, String body) {
        return "POST /" + jobClass + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static Socket send(SchedulerProcess scheduler, String bytes) throws IOException {
        Socket client =
                new Socket(scheduler.front().getAddress(), scheduler.front().getPort());
        client.setSoTimeout(TIMEOUT_MS);
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    private static long deadlineNs(int withinMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
    }

    /** Returns all that the client receives until the connection ends or the deadline has passed. */
    private static String receive(Socket client, long deadlineNs) throws IOException {
        return receive(client, deadlineNs, null);
    }

    /** Returns all that the client receives up to the given text, or until the connection ends or the deadline has passed. */
    private static String receive(Socket client, long deadlineNs, String end) throws IOException {
        StringBuilder received = new StringBuilder();
        byte[] bytes = new byte[4096];
        try {
            while (end == null || received.indexOf(end) < 0) {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
                client.setSoTimeout((int) Math.max(1, leftMs));
                int read = client.getInputStream().read(bytes);
                if (read < 0) {
                    return received + "(closed)";
                }
                received.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
            }
            return received.toString();
        } catch (SocketTimeoutException e) {
            return received.toString();
        } catch (IOException e) {
            return received + "(reset)";
        }
    }

    private Path configuration(RecordingWorkers workers) throws IOException {
        return Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"limits\":{\"sockets\":1024},"
                        + "\"log\":{\"level\":\"debug\"},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
                        + workers.lines() + "]},\"settings\":" + Scenario.SETTINGS + "}");
    }

    /** Guards against a result that is told to whoever names the id of another client's request. */
    @ParameterizedTest
    @EnumSource
    @Timeout(60)
    void theIdOfAnotherClientsRequestIsNeverServed(Moment moment) throws Exception {
        CountDownLatch end = new CountDownLatch(moment.afterTheEnd() ? 0 : 1);
        try (RecordingWorkers workers = new RecordingWorkers(WORKERS, id -> {
                    await(end);
                    return RecordingWorkers.done(id);
                });
                SchedulerProcess scheduler = new SchedulerProcess(configuration(workers));
                Socket owner = send(scheduler, request(moment.jobClass(), "a", "towels"))) {
            while (!workers.hasTaken("a")) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            if (moment.afterTheEnd()) {
                assertThat(receive(owner, deadlineNs(ERROR_WITHIN_MS), "r-a")).startsWith("HTTP/1.1 200 ");
            }
            List<Socket> strangers = new ArrayList<>();
            for (int i = 0; i < STRANGERS; i++) {
                String body = moment == Moment.OTHER_BODY ? "body " + i : "towels";
                strangers.add(send(scheduler, request(moment.jobClass(), "a", body)));
            }
            if (moment == Moment.OWNER_LEAVES) {
                owner.shutdownOutput();
            }
            TimeUnit.MILLISECONDS.sleep(200); // the strangers' requests are read
            end.countDown();
            long deadlineNs = deadlineNs(ERROR_WITHIN_MS);
            List<String> answers = new ArrayList<>();
            for (Socket stranger : strangers) {
                answers.add(receive(stranger, deadlineNs));
                stranger.close();
            }
            assertThat(answers)
                    .as("log %s", scheduler.log())
                    .allMatch(answer -> answer.matches("(?s)HTTP/1.1 409 .*\\(closed\\)"));
            if (moment != Moment.OWNER_LEAVES && !moment.afterTheEnd()) {
                assertThat(receive(owner, deadlineNs(ERROR_WITHIN_MS), "r-a"))
                        .startsWith("HTTP/1.1 200 ")
                        .endsWith("r-a");
            }
            assertThat(workers.attempts()).hasSize(1);
        }
    }

    /** Guards against lenient reading: each unsound form is owed an error or a close, each sound one its result. */
    @Test
    @Timeout(300)
    void onlySoundRequestsAreServed() throws Exception {
        try (RecordingWorkers workers = new RecordingWorkers(WORKERS, RecordingWorkers::done);
                SchedulerProcess scheduler = new SchedulerProcess(configuration(workers))) {
            List<String> wrong = new ArrayList<>();
            List<UnsoundRequests.Case> unsound = UnsoundRequests.unsound();
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < unsound.size(); i++) {
                clients.add(send(scheduler, unsound.get(i).withId("u" + i)));
            }
            long deadlineNs = deadlineNs(ERROR_WITHIN_MS);
            for (int i = 0; i < unsound.size(); i++) {
                String answer = receive(clients.get(i), deadlineNs);
                clients.get(i).close();
                if (!answer.matches("(?s)HTTP/1.1 [45].*|\\((closed|reset)\\)")) {
                    wrong.add(unsound.get(i) + ": " + answer.lines().findFirst().orElse("nothing"));
                }
            }
            List<UnsoundRequests.Case> sound = UnsoundRequests.sound();
            for (int i = 0; i < sound.size(); i++) {
                try (Socket client = send(scheduler, sound.get(i).withId("s" + i))) {
                    String answer = receive(client, deadlineNs(ERROR_WITHIN_MS), "r-s" + i);
                    if (!answer.matches("(?s)(HTTP/1.1 100 .*)?HTTP/1.1 200 .*r-s" + i)) {
                        wrong.add(
                                sound.get(i) + ": " + answer.lines().findFirst().orElse("nothing"));
                    }
                }
            }
            assertThat(wrong).as("log %s", scheduler.log()).isEmpty();
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
