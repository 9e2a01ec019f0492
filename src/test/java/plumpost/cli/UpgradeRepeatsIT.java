package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.Scenario;

/** Tests requests that come again at the other process of an upgrade, which shares the clients' socket and a directory. */
class UpgradeRepeatsIT {
    private static final String ORDER =
            "POST /pickup-order HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nContent-Length: 1\r\n\r\nx";
    private static final int REPEATS = 6;
    private static final int TIMEOUT_MS = 20_000;

    @TempDir
    private Path folder;

    private static Socket send(int port, String id) throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(TIMEOUT_MS);
        client.getOutputStream().write(ORDER.formatted(id).getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private static String answer(Socket client) throws IOException {
        byte[] answer = new byte[1000];
        return new String(answer, 0, Math.max(0, client.getInputStream().read(answer)), StandardCharsets.US_ASCII);
    }

    private static void awaitAttempts(RecordingWorkers workers, int count) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (workers.attempts().size() < count) {
            assertThat(System.nanoTime()).as("attempts").isLessThan(endNs);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Guards an order that runs in the old process, or was killed with it, against a second run in the new one. */
    @ParameterizedTest
    @ValueSource(strings = {"kept", "terminated", "killed"})
    @Timeout(90)
    void anOrderOfTheOldProcessDoesNotRunAgainInTheNewOne(String fate) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (RecordingWorkers workers = new RecordingWorkers(4, id -> {
                    if (id.equals("a")) {
                        awaitQuietly(end);
                    }
                    return RecordingWorkers.done(id);
                });
                UpgradePlatform platform = UpgradePlatform.start(folder, configuration(workers))) {
            ProcessHandle old = platform.startProcess();
            Socket first = send(platform.port(), "a");
            try (first) {
                awaitAttempts(workers, 1);
                ProcessHandle next = platform.startProcess();
                end(old, fate);
                first.close();
                List<Socket> again = new ArrayList<>();
                for (int i = 0; i < REPEATS; i++) { // both processes accept while the old one is there
                    again.add(send(platform.port(), "a"));
                }
                if (fate.equals("kept")) {
                    TimeUnit.MILLISECONDS.sleep(100); // the old process has read those that it accepted
                    end.countDown();
                }
                for (Socket client : again) {
                    assertThat(answer(client)).startsWith("HTTP/1.1 409 ");
                    client.close();
                }
                try (Socket other = send(platform.port(), "b")) {
                    assertThat(answer(other)).startsWith("HTTP/1.1 200 ");
                }
                end.countDown();
                assertThat(next.isAlive()).isTrue();
                assertThat(workers.attempts().stream()
                                .filter(attempt -> attempt.id().equals("a")))
                        .hasSize(1);
            }
        }
    }

    private static void end(ProcessHandle process, String fate) throws Exception {
        if (fate.equals("terminated")) {
            process.destroy();
            TimeUnit.MILLISECONDS.sleep(300); // it has stopped accepting, and still waits for its order
        } else if (fate.equals("killed")) {
            process.destroyForcibly();
            process.onExit().get();
        }
    }

    private Path configuration(RecordingWorkers workers) throws IOException {
        return Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
                        + workers.lines() + "]},\"settings\":" + Scenario.SETTINGS + "}");
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A script that holds the clients' socket and starts processes that share it, as the platform does in an upgrade. */
    private static final class UpgradePlatform implements AutoCloseable {
        private static final String SCRIPT = """
                use IO::Socket::INET; use POSIX ();
                my $s = IO::Socket::INET->new(LocalAddr => "127.0.0.1:0", Listen => 50) or die;
                $| = 1; print $s->sockport, "\\n";
                for (1, 2) {
                  defined(<STDIN>) or last;
                  my $pid = fork;
                  if (!$pid) { POSIX::dup2(fileno($s), 0); exec "java", "-cp", $ARGV[1], "plumpost.cli.Main", "serve", "--config", $ARGV[0]; }
                  print "$pid\\n";
                }
                1 while wait != -1;
                """;

        private final Process script;
        private final BufferedReader output;
        private final BufferedReader log;
        private final int port;

        private UpgradePlatform(Process script) throws IOException {
            this.script = script;
            output = script.inputReader();
            log = script.errorReader();
            port = Integer.parseInt(output.readLine());
        }

        static UpgradePlatform start(Path folder, Path configuration) throws IOException {
            Path file = Files.writeString(folder.resolve("platform.pl"), SCRIPT);
            ProcessBuilder builder = new ProcessBuilder(
                    "perl", file.toString(), configuration.toString(), System.getProperty("java.class.path"));
            builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
            builder.environment().put("NODE_FD", "0");
            builder.environment().put("TMPDIR", folder.toString());
            return new UpgradePlatform(builder.start());
        }

        /** Starts the next process and waits until it serves. */
        ProcessHandle startProcess() throws IOException {
            script.getOutputStream().write('\n');
            script.getOutputStream().flush();
            ProcessHandle process =
                    ProcessHandle.of(Long.parseLong(output.readLine())).orElseThrow();
            String line = log.readLine();
            while (line != null && !line.contains("ready, http ")) {
                line = log.readLine();
            }
            assertThat(line).as("the process is ready").isNotNull();
            return process;
        }

        int port() {
            return port;
        }

        @Override
        public void close() {
            script.descendants().forEach(ProcessHandle::destroyForcibly);
            script.destroyForcibly();
        }
    }
}
