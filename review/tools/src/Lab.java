import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One play of a case: its record, its temporary folder and the processes that it has started. */
final class Lab implements AutoCloseable {
    /** The case could not run: exit code 2. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    /** A play may take 120 s. */
    private static final long TIME_LIMIT_MS = 112_000;

    final Path root;
    final Path temp;
    final boolean trouble;
    private final BufferedWriter record;
    private final long beganNs = System.nanoTime();
    private final List<Scheduler> schedulers = new ArrayList<>();

    /** Adds to the given record, which the case's script has begun. */
    Lab(String recordFile) throws IOException {
        root = Path.of("").toAbsolutePath();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        temp = Files.createTempDirectory("plumpost-review");
        record = Files.newBufferedWriter(
                Path.of(recordFile), StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("lab", "TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Milliseconds since the play began. */
    long now() {
        return (System.nanoTime() - beganNs) / 1_000_000;
    }

    synchronized void note(String who, String what) {
        try {
            record.write(String.format("%7d ms  %-12s %s%n", now(), who, what));
            record.flush();
        } catch (IOException e) {
            // the record is closed: the play is over
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Free ports on the loopback address, all different. */
    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** The line {@code run} of the deploy file. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = '''")) {
                return line.substring(9, line.lastIndexOf("'''"));
            }
        }
        throw new CannotRun("deploy/balancer.toml has no line run in three quotes");
    }

    /** One scheduler process, started by the deploy file's line {@code run}. */
    final class Scheduler {
        final String name;
        final Path config;
        final int http;
        final int gearman;
        final Path log;
        private Process process;

        Scheduler(String name, Path config, int http, int gearman) {
            this.name = name;
            this.config = config;
            this.http = http;
            this.gearman = gearman;
            this.log = temp.resolve(name + ".log");
        }

        void start() throws IOException {
            Path tmp = Files.createDirectories(temp.resolve(name + ".tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
            process = builder.start();
            note(name, "started");
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        void kill() throws InterruptedException {
            note(name, "SIGKILL");
            process.destroyForcibly();
            process.waitFor();
        }

        /** Its machine vanishes: connections stay open and silent. */
        void stop() throws IOException, InterruptedException {
            note(name, "SIGSTOP");
            new ProcessBuilder("kill", "-STOP", Long.toString(process.pid())).start().waitFor();
        }

        /** The process goes on after {@link #stop}. */
        void resume() throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-CONT", Long.toString(process.pid())).start().waitFor();
        }

        void terminate() {
            note(name, "SIGTERM");
            process.toHandle().destroy();
        }

        boolean awaitEnd(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        /** Waits for /health/ready, and for the fleet if it joins one. */
        void awaitReady(boolean fleet) throws IOException {
            long deadline = System.nanoTime() + 30_000_000_000L;
            while (!(httpGet("/health/ready").startsWith("HTTP/1.1 200")
                    && (!fleet || Files.readString(log).contains("takes part")))) {
                if (!alive() || System.nanoTime() > deadline) {
                    throw new CannotRun(name + " is not ready: " + tail());
                }
                pause(50);
            }
            note(name, "ready");
        }

        String tail() throws IOException {
            List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 6), lines.size()));
        }

        String httpGet(String path) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", http), 500);
                socket.setSoTimeout(2000);
                socket.getOutputStream()
                        .write(("GET " + path + " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n").getBytes());
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        }

        /** Copies the scheduler's log lines, its counters at the end left out, into the record. */
        void recordLog() throws IOException {
            if (Files.exists(log)) {
                Files.readAllLines(log).stream()
                        .filter(line -> line.contains(name + ":") || line.contains("guard") || line.contains("fault"))
                        .limit(60)
                        .forEach(line -> note("log " + name.replace("scheduler", "s"), line));
            }
        }
    }

    Scheduler scheduler(String name, Path config, int http, int gearman) {
        Scheduler scheduler = new Scheduler(name, config, http, gearman);
        schedulers.add(scheduler);
        return scheduler;
    }

    /** Three schedulers that have joined, by deploy/peers/1.json to 3.json with other ports and data directories. */
    List<Scheduler> fleet() throws IOException {
        List<Scheduler> fleet = startFleet();
        for (Scheduler scheduler : fleet) {
            scheduler.awaitReady(true);
        }
        return fleet;
    }

    /** Starts three schedulers on empty data directories and waits for nothing. */
    List<Scheduler> startFleet() throws IOException {
        int[] ports = freePorts(12);
        Map<String, String> replaced = new TreeMap<>(Comparator.reverseOrder());
        for (int i = 1; i <= 3; i++) {
            replaced.put("127.0.0.1:800" + i, "127.0.0.1:" + ports[4 * i - 4]);
            replaced.put("127.0.0.1:473" + i, "127.0.0.1:" + ports[4 * i - 3]);
            replaced.put("127.0.0.1:960" + i, "127.0.0.1:" + ports[4 * i - 2]);
            replaced.put("127.0.0.1:730" + i, "127.0.0.1:" + ports[4 * i - 1]);
            replaced.put("target/peers/" + i, temp.resolve("data" + i).toString());
        }
        List<Scheduler> fleet = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            String text = Files.readString(root.resolve("deploy/peers/" + i + ".json"));
            for (Map.Entry<String, String> entry : replaced.entrySet()) {
                text = text.replace('"' + entry.getKey() + '"', '"' + entry.getValue() + '"');
            }
            Path config = temp.resolve("scheduler-" + i + ".json");
            Files.writeString(config, text);
            fleet.add(scheduler("scheduler-" + i, config, ports[4 * i - 4], ports[4 * i - 3]));
        }
        for (Scheduler scheduler : fleet) {
            scheduler.start();
        }
        return fleet;
    }

    /** Runs {@code fleet show --json} and returns what it prints. */
    String fleetShow(Scheduler scheduler) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        "java", "-jar", "target/plumpost.jar", "fleet", "show", "--json", "--config", scheduler.config.toString())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return text;
    }

    @Override
    public void close() {
        for (Scheduler scheduler : schedulers) {
            if (scheduler.process != null) {
                scheduler.process.destroyForcibly();
                try {
                    scheduler.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        synchronized (this) {
            try {
                record.close();
            } catch (IOException e) {
                // nothing left to write
            }
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // the temporary folder may be gone already
        }
    }

    interface Play {
        /** Returns what was broken, or null if the rule held. */
        String run(Lab lab) throws Exception;
    }

    /** Plays a case and ends the process with its exit code. */
    static void main(String recordFile, Play play) {
        int code;
        try (Lab lab = new Lab(recordFile)) {
            Thread limit = new Thread(() -> {
                pause(TIME_LIMIT_MS);
                lab.note("verdict", "could not run: over " + TIME_LIMIT_MS + " ms");
                lab.close();
                Runtime.getRuntime().halt(2);
            });
            limit.setDaemon(true);
            limit.start();
            try {
                String broken = play.run(lab);
                for (Scheduler scheduler : lab.schedulers) {
                    scheduler.recordLog();
                }
                lab.note("verdict", broken == null ? "the rule held" : "BROKEN: " + broken);
                System.out.println(broken == null ? "the rule held" : "BROKEN: " + broken);
                code = broken == null ? 0 : 1;
            } catch (Throwable e) {
                lab.note("verdict", "could not run: " + e);
                System.out.println("could not run: " + e);
                code = 2;
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }
}
