package plumpost.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import plumpost.Scenario;
import plumpost.lab.SchedulerProcess;
import plumpost.lab.faults.FaultLibrary;

/** A scheduler process whose {@code accept} calls fail for a while with each error that Linux documents. */
class AcceptFailuresIT {
    private static final int CLIENTS = 12;
    private static final long FAILING_MS = 600;

    @TempDir
    private Path folder;

    /**
     * Guards against clients that are never accepted after the failure, whose wait in the backlog is not counted, and against a
     * busy loop while accepting fails.
     */
    @Test
    @Timeout(60)
    void whoWaitsIsAcceptedOnceThatWorksAndTheWaitCounts() throws Exception {
        Path file = Files.writeString(
                folder.resolve("scheduler.json"),
                "{\"name\":\"s0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"known\":{\"seq\":1,"
                        + "\"whole\":true,\"hosts\":[]},\"settings\":" + Scenario.SETTINGS + "}");
        try (FaultLibrary faults = new FaultLibrary(null);
                SchedulerProcess scheduler = new SchedulerProcess(file, faults.environment())) {
            scheduler.awaitReady();
            double cpuSecondsBefore = scheduler.resourceUsage().cpuSeconds();
            faults.failAccepts(1);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = new Socket(
                        scheduler.front().getAddress(), scheduler.front().getPort());
                clients.add(client);
                // Less time than accepting fails for: none is left when the request is read.
                client.getOutputStream()
                        .write(("POST /route-plan HTTP/1.1\r\nHost: h\r\nX-Txn: a" + i + "\r\nX-Remaining-Ms: 500\r\n"
                                        + "Content-Length: 1\r\n\r\nx")
                                .getBytes(StandardCharsets.US_ASCII));
            }
            Thread.sleep(FAILING_MS);
            double cpuSeconds = scheduler.resourceUsage().cpuSeconds() - cpuSecondsBefore;
            faults.failAccepts(0);
            for (Socket client : clients) {
                client.setSoTimeout(5_000);
                assertThat(status(client)).isEqualTo("HTTP/1.1 503");
                client.close();
            }
            assertThat(scheduler.httpGet("/counters"))
                    .contains("net.accept_failed.", "jobs.too_late " + CLIENTS + "\n");
            assertThat(cpuSeconds)
                    .as("seconds of processor time while calls failed")
                    .isLessThan(FAILING_MS / 1e3 / 2);
        }
    }

    private static String status(Socket client) throws IOException {
        byte[] answer = new byte[1024];
        int count = client.getInputStream().read(answer);
        return new String(answer, 0, Math.max(0, Math.min(count, 12)), StandardCharsets.US_ASCII);
    }
}
