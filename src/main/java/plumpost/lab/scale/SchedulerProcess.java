package plumpost.lab.scale;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import plumpost.config.NodeListReader;

/** A real scheduler in a process of its own, with the heap that the deploy file gives it, and what the system says of it. */
final class SchedulerProcess implements Closeable {
    /** The deploy file's bounds for 192 MB, the platform's limit. */
    private static final List<String> BOUNDS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Djava.net.preferIPv4Stack=true",
            "-Xms38m",
            "-Xmx76m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:MaxDirectMemorySize=8m");

    private static final double TICKS_PER_SECOND = 100;
    private static final long READY_WITHIN_MS = 30_000;

    /** What the system has accounted to the process since its start; bytes are those of its read and write calls. */
    record Account(double cpuSeconds, long residentKb, int descriptors, long bytesRead, long bytesWritten) {}

    private final Process process;
    private final InetSocketAddress front;

    /** Starts a scheduler by a configuration file and waits until it says that it is ready. */
    SchedulerProcess(Path configuration) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(BOUNDS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "plumpost.cli.Main", "serve"));
        command.addAll(List.of("--config", configuration.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        process = builder.start();
        BufferedReader log = process.errorReader();
        String line = log.readLine();
        while (line != null && !line.contains("ready, http ")) {
            line = log.readLine();
        }
        if (line == null) {
            throw new IOException("the scheduler ended at its start, with " + process.waitFor());
        }
        front = NodeListReader.address("front", line.replaceAll(".* http /([0-9.:]+).*", "$1"));
        Thread drain = new Thread(() -> log.lines().forEach(more -> {}), "scheduler log");
        drain.setDaemon(true);
        drain.start();
        awaitReady();
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (long end = System.currentTimeMillis() + READY_WITHIN_MS; !saysReady(); Thread.sleep(50)) {
            if (System.currentTimeMillis() > end) {
                throw new IOException("the scheduler is not ready after " + READY_WITHIN_MS + " ms");
            }
        }
    }

    private boolean saysReady() throws IOException {
        return get("/health/ready").startsWith("HTTP/1.1 200 ");
    }

    private String get(String path) throws IOException {
        try (Socket client = new Socket(front.getAddress(), front.getPort())) {
            client.setSoTimeout(10_000);
            String request = "GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[4096];
            int n = client.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, n), StandardCharsets.US_ASCII);
        }
    }

    /** Where its clients connect. */
    InetSocketAddress front() {
        return front;
    }

    Account account() throws IOException {
        Path system = Path.of("/proc", Long.toString(process.pid()));
        String stat = Files.readString(system.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double cpuSeconds = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
        int descriptors;
        try (Stream<Path> open = Files.list(system.resolve("fd"))) {
            descriptors = (int) open.count();
        }
        return new Account(
                cpuSeconds,
                field(system.resolve("status"), "VmRSS:"),
                descriptors,
                field(system.resolve("io"), "rchar:"),
                field(system.resolve("io"), "wchar:"));
    }

    private static long field(Path file, String name) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(name)) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException(file + " has no field " + name);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
