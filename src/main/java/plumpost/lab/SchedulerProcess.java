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
 * A real scheduler in a process of its own, with the heap that the deploy file gives it: its log, the signals that it gets and
 * what the system accounts to it.
 */
public final class SchedulerProcess implements Closeable {
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
    private static final long READY_WITHIN_NS = TimeUnit.SECONDS.toNanos(30);
    private static final long READY_LOOK_MS = 10;

    /**
     * What the system has accounted to the process since its start; bytes are those of its read and write calls.
     *
     * @param cpuSeconds processor time, of the program and of the system for it
     * @param residentKb memory in RAM now
     * @param peakKb the most memory in RAM so far
     * @param descriptors open file descriptors
     * @param bytesRead bytes of its read calls
     * @param bytesWritten bytes of its write calls
     */
    public record Account(
            double cpuSeconds, long residentKb, long peakKb, int descriptors, long bytesRead, long bytesWritten) {}

    private final Process process;
    private final InetSocketAddress front;
    private final List<String> log = new CopyOnWriteArrayList<>();

    /** Starts a scheduler by a configuration file and waits until it says that it is ready. */
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
     * @param classPath the program, which may be another release
     * @param configuration its file
     * @param environment more variables in its environment
     */
    public SchedulerProcess(String classPath, Path configuration, Map<String, String> environment)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(BOUNDS);
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
        front = NodeListReader.address("front", line.replaceAll(".* http /([0-9.:]+).*", "$1"));
        Thread drain = new Thread(() -> lines.lines().forEach(log::add), "scheduler log");
        drain.setDaemon(true);
        drain.start();
    }

    /** Waits until the scheduler answers that it is ready; {@link IOException} where it does not in time. */
    public void awaitReady() throws IOException, InterruptedException {
        for (long begun = System.nanoTime(); !saysReady(); Thread.sleep(READY_LOOK_MS)) {
            if (System.nanoTime() - begun > READY_WITHIN_NS) {
                throw new IOException("the scheduler is not ready in time: " + log);
            }
        }
    }

    private boolean saysReady() throws IOException {
        return get("/health/ready").startsWith("HTTP/1.1 200 ");
    }

    /** The answer to a GET on a connection of its own, as far as it comes in one piece. */
    public String get(String path) throws IOException {
        try (Socket client = new Socket(front.getAddress(), front.getPort())) {
            client.setSoTimeout(10_000);
            String request = "GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[64 * 1024];
            int n = client.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, n), StandardCharsets.US_ASCII);
        }
    }

    /** Where its clients connect. */
    public InetSocketAddress front() {
        return front;
    }

    /** What it has logged so far, its counters at its end included. */
    public List<String> log() {
        return List.copyOf(log);
    }

    /** Its process. */
    public ProcessHandle handle() {
        return process.toHandle();
    }

    /** Sends SIGTERM: the scheduler is to end in order. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close the log as well
    }

    /** Sends SIGHUP: the scheduler is to read its file again. */
    public void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends SIGSTOP: nothing of the process runs until {@link #resume}. */
    public void suspend() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits for its end up to a time in milliseconds; its exit code, or -1 where it still runs. */
    public int awaitEnd(long withinMs) throws InterruptedException {
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** What the system has accounted to it. */
    public Account account() throws IOException {
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
