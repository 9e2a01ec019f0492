package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import plumpost.Scenario;

/** Tests a listening socket that the platform passes to each process of a scheduler as descriptor 0. */
class InheritedSocketIT {
    /** A script that listens, prints the port, and starts a process for each of two lines that it reads. */
    private static final String PLATFORM = """
            use IO::Socket::INET; use POSIX ();
            my $s = IO::Socket::INET->new(LocalAddr => "127.0.0.1:0", Listen => 50) or die;
            $| = 1; print $s->sockport, "\\n";
            for (1, 2) {
              defined(<STDIN>) or last;
              my $pid = fork;
              if (!$pid) { POSIX::dup2(fileno($s), 0); exec "java", "-jar", "target/plumpost.jar", "serve", "--config", $ARGV[0]; }
              print "$pid\\n";
            }
            1 while wait != -1;
            """;

    @TempDir
    private Path folder;

    private static String ready(int port) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(10_000);
            client.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[1000];
            return new String(answer, 0, Math.max(0, client.getInputStream().read(answer)), StandardCharsets.US_ASCII);
        }
    }

    private static void startNextProcess(Process platform) throws IOException {
        platform.getOutputStream().write('\n');
        platform.getOutputStream().flush();
    }

    /** In an upgrade the second process accepts alongside the first, and continues to serve after the first has ended. */
    @Test
    @Timeout(60)
    void theSecondProcessServesOnWhenTheFirstEnds() throws Exception {
        Path script = Files.writeString(folder.resolve("platform.pl"), PLATFORM);
        // Without discovery a process is ready without waiting for a node list.
        Path file = Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"settings\":" + Scenario.SETTINGS + "}");
        ProcessBuilder builder = new ProcessBuilder("perl", script.toString(), file.toString());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().put("NODE_FD", "0");
        Process platform = builder.start();
        try (BufferedReader output = platform.inputReader();
                BufferedReader log = platform.errorReader()) {
            int port = Integer.parseInt(output.readLine());
            startNextProcess(platform);
            ProcessHandle first =
                    ProcessHandle.of(Long.parseLong(output.readLine())).orElseThrow();
            assertThat(log.readLine()).contains("ready, http /127.0.0.1:" + port);
            assertThat(ready(port)).startsWith("HTTP/1.1 200 ");
            startNextProcess(platform);
            ProcessHandle second =
                    ProcessHandle.of(Long.parseLong(output.readLine())).orElseThrow();
            assertThat(log.readLine()).contains("ready, http /127.0.0.1:" + port);
            first.destroy();
            first.onExit().get();
            for (int i = 0; i < 20; i++) {
                assertThat(ready(port)).startsWith("HTTP/1.1 200 ");
            }
            second.destroy();
            second.onExit().get();
            assertThat(platform.waitFor()).isZero();
        } finally {
            platform.descendants().forEach(ProcessHandle::destroyForcibly);
            platform.destroyForcibly();
        }
    }
}
