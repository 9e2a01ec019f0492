package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The whole program as a process of its own, at ports that the system gives. */
class ServeTest {
    @TempDir
    private Path folder;

    private static String ask(Socket desk, String path) throws IOException {
        desk.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        byte[] answer = new byte[4096];
        return new String(answer, 0, desk.getInputStream().read(answer), StandardCharsets.US_ASCII);
    }

    /** Guards the orderly end: SIGTERM closes what idles, prints the counters and ends with 0, not the signal's code. */
    @Test
    @Timeout(60)
    void sigtermEndsItInOrder() throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), Files.readString(Path.of("deploy/gearman.json"))
            .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:4730", "127.0.0.1:0"));
        ProcessBuilder builder = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-cp",
            System.getProperty("java.class.path"), "plumpost.cli.Main", "serve", "--config", file.toString());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        Process served = builder.start();
        try (BufferedReader log = served.errorReader()) {
            String ready = log.readLine();
            assertThat(ready).contains("ready, http /127.0.0.1:", " gearman /127.0.0.1:");
            int port = Integer.parseInt(ready.replaceAll(".* http /127.0.0.1:([0-9]+) .*", "$1"));
            try (Socket desk = new Socket("127.0.0.1", port); Socket worker = new Socket("127.0.0.1",
                Integer.parseInt(ready.replaceAll(".* gearman /127.0.0.1:", "")))) {
                assertThat(ask(desk, "/health/ready")).startsWith("HTTP/1.1 200 ");
                worker.getOutputStream().write("version\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(worker.getInputStream().read()).isEqualTo('O');
                assertThat(ask(desk, "/counters")).contains("front.requests 2\n");
                served.toHandle().destroy(); // Process.destroy would close the log as well
                assertThat(desk.getInputStream().read()).as("the idle connection's end").isEqualTo(-1);
                try (Socket late = new Socket("127.0.0.1", port)) {
                    assertThat(ask(late, "/health/ready")).startsWith("HTTP/1.1 503 ").contains("Connection: close");
                }
            }
            assertThat(log.lines().collect(Collectors.joining("\n"))).contains("front.requests 3");
            assertThat(served.waitFor()).isZero();
        } finally {
            served.destroyForcibly();
        }
    }
}
