package plumpost.lab;

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
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import plumpost.config.NodeListReader;

/**
 * A real scheduler process with the JVM options of the deploy file. Gives access to its log, sends signals to it and reads its
 * resource usage.
 */
public final class SchedulerProcess implements Closeable {
    /** The deploy file's JVM options for 192 MB, the platform's memory limit. */
    private static final List<String> JVM_OPTIONS = List.of(
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
    private static final long READY_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(30);
    private static final long READY_POLL_INTERVAL_MS = 10;

    /**
     * The resource usage of the process since its start.
     *
     * @param cpuSeconds processor time in user and system mode
     * @param residentKb resident memory now
     * @param peakKb the peak of resident memory
     * @param descriptors open file descriptors
     * @param bytesRead bytes returned by its read calls
     * @param bytesWritten bytes passed to its write calls
     */
    public record ResourceUsage(
            double cpuSeconds, long residentKb, long peakKb, int descriptors, long bytesRead, long bytesWritten) {}

    private final Process process;
    private final InetSocketAddress front;
    private final List<String> log = new CopyOnWriteArrayList<>();

    /** Starts a scheduler of this program and waits until it reports that it is ready. */
    public SchedulerProcess(Path configuration) throws IOException, InterruptedException {
        this(configuration, Map.of());
        awaitReady();
    }

    /** Starts a scheduler of this program; returns once it listens, ready or not. */
    public SchedulerProcess(Path configuration, Map<String, String> environment)
            throws IOException, InterruptedException {
        this(System.getProperty("java.class.path"), configuration, environment);
    }

    /**
     * Starts a scheduler; returns once it listens, ready or not.
     *
     * @param classPath class path of the program, which may be another release
     * @param configuration its configuration file
     * @param environment additional environment variables
     */
    public SchedulerProcess(String classPath, Path configuration, Map<String, String> environment)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", classPath, "plumpost.cli.Main", "serve"));
        command.addAll(List.of("--config", configuration.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        process = builder.start();
        BufferedReader lines = process.errorReader();
        String line = lines.readLine();
        while (line != null && !line.contains("ready, http ")) {
            log.add(line);
            line = lines.readLine();
        }
        if (line == null) {
            throw new IOException("the scheduler ended at its start, with " + process.waitFor() + ": " + log);
        }
        log.add(line);
        front = NodeListReader.parseAddress("front", line.replaceAll(".* http /([0-9.:]+).*", "$1"));
        Thread drain = new Thread(() -> lines.lines().forEach(log::add), "scheduler log");
        drain.setDaemon(true);
        drain.start();
    }

    /** Waits until the scheduler reports that it is ready; throws {@link IOException} after 30 s. */
    public void awaitReady() throws IOException, InterruptedException {
        for (long begun = System.nanoTime(); !isReady(); Thread.sleep(READY_POLL_INTERVAL_MS)) {
            if (System.nanoTime() - begun > READY_TIMEOUT_NS) {
                throw new IOException("the scheduler is not ready in time: " + log);
            }
        }
    }

    private boolean isReady() throws IOException {
        return httpGet("/health/ready").startsWith("HTTP/1.1 200 ");
    }

    /** Sends a GET on a new connection and returns what the first read of the answer yields. */
    public String httpGet(String path) throws IOException {
        try (Socket client = new Socket(front.getAddress(), front.getPort())) {
            client.setSoTimeout(10_000);
            String request = "GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[64 * 1024];
            int length = client.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, length), StandardCharsets.US_ASCII);
        }
    }

    /** Returns the address for clients. */
    public InetSocketAddress front() {
        return front;
    }

    /** Returns the address of the Gearman front, or null if the configuration has none. */
    public InetSocketAddress gearmanFront() {
        return log.stream()
                .filter(line -> line.contains(" gearman /"))
                .findFirst()
                .map(line -> NodeListReader.parseAddress("gearman", line.replaceAll(".* gearman /([0-9.:]+).*", "$1")))
                .orElse(null);
    }

    /** Returns the lines logged so far, including the counters that it logs at its end. */
    public List<String> log() {
        return List.copyOf(log);
    }

    /** Returns the handle of the process. */
    public ProcessHandle handle() {
        return process.toHandle();
    }

    /** Sends SIGTERM, which requests a graceful shutdown. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close the log as well
    }

    /** Sends SIGHUP, which makes the scheduler reload its file. */
    public void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends SIGSTOP, which suspends the process until {@link #resume}. */
    public void suspend() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        if (!process.isAlive()) {
            return; // its number may belong to another process by now
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits up to {@code withinMs} for the exit; returns the exit code, or -1 if the process still runs. */
    public int awaitEnd(long withinMs) throws InterruptedException {
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Reads the current resource usage. */
    public ResourceUsage resourceUsage() throws IOException {
        Path system = Path.of("/proc", Long.toString(process.pid()));
        String stat = Files.readString(system.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double cpuSeconds = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
        int descriptors;
        try (Stream<Path> open = Files.list(system.resolve("fd"))) {
            descriptors = (int) open.count();
        }
        return new ResourceUsage(
                cpuSeconds,
                field(system.resolve("status"), "VmRSS:"),
                field(system.resolve("status"), "VmHWM:"),
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

    /** Sends SIGKILL. */
    public void kill() {
        process.toHandle().destroyForcibly();
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
