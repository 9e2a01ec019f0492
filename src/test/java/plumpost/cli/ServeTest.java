package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the program as a separate process on ephemeral ports. */
class ServeTest {
    @TempDir
    private Path folder;

    private static String ask(Socket client, String path) throws IOException {
        client.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        byte[] answer = new byte[4096];
        return new String(answer, 0, client.getInputStream().read(answer), StandardCharsets.US_ASCII);
    }

    /** On SIGHUP a bad file changes nothing, a good one switches to the new discovery, and open connections are kept. */
    @Test
    @Timeout(60)
    void sighupMovesTheDiscoveryConnection() throws Exception {
        Path file = folder.resolve("c.json");
        String text = Files.readString(Path.of("deploy/gearman.json"))
                .replace("127.0.0.1:8000", "127.0.0.1:0")
                .replace("127.0.0.1:4730", "127.0.0.1:0");
        Files.writeString(file, text);
        ProcessBuilder builder = processBuilder(file);
        builder.environment().put("NODE_DISCOVERY", "127.0.0.1:1");
        Process process = builder.start();
        try (BufferedReader log = process.errorReader();
                ServerSocket discovery = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            String ready =
                    log.lines().filter(l -> l.contains("ready,")).findFirst().orElseThrow();
            try (Socket client = new Socket("127.0.0.1", port(ready, "http"));
                    Socket worker = new Socket("127.0.0.1", port(ready, "gearman"))) {
                assertThat(ask(client, "/health/ready")).startsWith("HTTP/1.1 200 ");
                Files.writeString(file, text.substring(0, 300));
                sendHangup(process);
                assertThat(log.lines()
                                .filter(l -> l.contains("old configuration stays"))
                                .findFirst())
                        .isPresent();
                Files.writeString(
                        file,
                        text.replace(
                                "\"seed\"", "\"discovery\": \"127.0.0.1:" + discovery.getLocalPort() + "\", \"seed\""));
                try (Socket watchConnection = discovery.accept()) { // the file is read again without a second SIGHUP
                    byte[] requestBytes = new byte[100];
                    assertThat(new String(
                                    requestBytes,
                                    0,
                                    watchConnection.getInputStream().read(requestBytes),
                                    StandardCharsets.US_ASCII))
                            .startsWith("GET /registry/instances?follow=1 ");
                    sendHangup(process);
                    assertThat(ask(client, "/counters")).contains("list.moved 1\n");
                    worker.getOutputStream().write("version\n".getBytes(StandardCharsets.US_ASCII));
                    assertThat(worker.getInputStream().read()).isEqualTo('O');
                }
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** The heap size in the command of the deployment file follows limits.memory_mb. */
    @ParameterizedTest
    @CsvSource({"144,57", "64,25"})
    void theHeapFollowsTheMemoryLimit(int limit, int heap) throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertThat(java.toFile().setExecutable(true)).isTrue();
        Path file = Files.writeString(
                folder.resolve("c.json"),
                Files.readString(Path.of("deploy/gearman.json"))
                        .replace("\"memory_mb\": 192", "\"memory_mb\":" + limit));
        String run = Files.readString(Path.of("deploy/balancer.toml")).replaceAll("(?s).*\nrun = '''(.*?)'''.*", "$1");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().merge("PATH", folder.toString(), (old, first) -> first + ":" + old);
        builder.environment().put("NODE_CONFIG", file.toString());
        assertThat(new String(builder.start().getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                .contains("-Xmx" + heap + "m ")
                .endsWith("serve\n");
        assertThat(Serve.coreBounds((long) heap << 20, null).bodyBytes()).isLessThan((long) heap << 18);
    }

    /** If an address is in use, the process prints one line and ends instead of running without a listener. */
    @Test
    @Timeout(60)
    void startFailsWhenAnAddressIsInUse() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Path file = Files.writeString(
                    folder.resolve("c.json"),
                    Files.readString(Path.of("deploy/gearman.json"))
                            .replace("127.0.0.1:8000", "127.0.0.1:0")
                            .replace("127.0.0.1:4730", "127.0.0.1:" + taken.getLocalPort()));
            Process process = processBuilder(file).start();
            try (BufferedReader log = process.errorReader()) {
                assertThat(log.lines().toList()).singleElement().asString().contains("cannot start", "in use");
                assertThat(process.waitFor()).isEqualTo(2);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Without a fleet in the configuration, no class of the fleet or its engine is loaded. */
    @Test
    @Timeout(60)
    void withoutPeersNoFleetClassIsLoaded() throws Exception {
        Path file = Files.writeString(
                folder.resolve("c.json"),
                Files.readString(Path.of("deploy/gearman.json"))
                        .replace("127.0.0.1:8000", "127.0.0.1:0")
                        .replace("127.0.0.1:4730", "127.0.0.1:0"));
        Path loaded = folder.resolve("loaded.txt");
        ProcessBuilder builder = processBuilder(file);
        builder.command().add(1, "-Xlog:class+load:file=" + loaded);
        Process process = builder.start();
        try (BufferedReader log = process.errorReader()) {
            assertThat(log.readLine()).contains("ready, ");
            process.toHandle().destroy();
            assertThat(process.waitFor()).isZero();
        } finally {
            process.destroyForcibly();
        }
        assertThat(Files.readString(loaded))
                .contains("plumpost.cli.Serve")
                .doesNotContain("plumpost.fleet.", "plumpost.peers.", "PeersConfig", "ratis", "cbor");
    }

    private static void sendHangup(Process process) throws Exception {
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    private static int port(String ready, String front) {
        return Integer.parseInt(ready.replaceAll(".* " + front + " /127.0.0.1:([0-9]+).*", "$1"));
    }

    private static ProcessBuilder processBuilder(Path file) {
        ProcessBuilder builder = new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-cp",
                System.getProperty("java.class.path"),
                "plumpost.cli.Main",
                "serve",
                "--config",
                file.toString());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        return builder;
    }

    /** On SIGTERM the process closes idle connections, prints the counters and exits with 0 instead of the signal's status. */
    @Test
    @Timeout(60)
    void sigtermStopsTheProcessInOrder() throws Exception {
        Path file = Files.writeString(
                folder.resolve("c.json"),
                Files.readString(Path.of("deploy/gearman.json"))
                        .replace("127.0.0.1:8000", "127.0.0.1:0")
                        .replace("127.0.0.1:4730", "127.0.0.1:0"));
        Process process = processBuilder(file).start();
        try (BufferedReader log = process.errorReader()) {
            String ready = log.readLine();
            assertThat(ready).contains("ready, http /127.0.0.1:", " gearman /127.0.0.1:");
            int port = port(ready, "http");
            try (Socket client = new Socket("127.0.0.1", port);
                    Socket worker = new Socket("127.0.0.1", port(ready, "gearman"))) {
                assertThat(ask(client, "/health/ready")).startsWith("HTTP/1.1 200 ");
                worker.getOutputStream().write("version\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(worker.getInputStream().read()).isEqualTo('O');
                assertThat(ask(client, "/counters")).contains("front.requests 2\n");
                process.toHandle().destroy(); // Process.destroy would close the log's stream too
                assertThat(log.readLine()).contains("stopping, 0 jobs open");
                try (Socket lateClient = new Socket("127.0.0.1", port)) {
                    assertThat(ask(lateClient, "/health/ready")).startsWith("HTTP/1.1 503 ");
                }
                assertThat(client.getInputStream().read())
                        .as("the idle connection's end")
                        .isEqualTo(-1);
            }
            assertThat(log.lines().collect(Collectors.joining("\n"))).contains("front.requests 3");
            assertThat(process.waitFor()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }
}
