import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One case: its record, its temporary folder, its ports and the schedulers that it starts with the deploy file's line. */
final class Rig implements Closeable {
    /** Whether the disruption is played. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** An order of events that does not allow a verdict: the script ends with 2. */
    @SuppressWarnings("serial")
    static final class CannotRun extends RuntimeException {
        CannotRun(String why) {
            super(why);
        }
    }

    /** What a case does; returns the breaches of the rule, none if it held. */
    interface Case {
        List<String> play(Rig rig) throws Exception;
    }

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Scheduler> schedulers = new ArrayList<>();
    final Path folder;
    final Path root = Path.of("").toAbsolutePath();

    private Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-");
    }

    /** Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Case toPlay) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0], "record.txt"))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endSchedulers));
            rig.note("case " + args[0] + ", disruption " + (TROUBLE ? "on" : "off"));
            try {
                List<String> breaches = toPlay.play(rig);
                breaches.stream().limit(50).forEach(breach -> rig.note("BROKEN: " + breach));
                rig.note(breaches.isEmpty() ? "the rule held" : breaches.size() + " breaches of the rule");
                code = breaches.isEmpty() ? 0 : 1;
            } catch (CannotRun e) {
                rig.note("the case could not run: " + e.getMessage());
            } catch (Exception | Error e) {
                rig.note("the case could not run: " + e + " at " + List.of(e.getStackTrace()));
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        Runtime.getRuntime().halt(code);
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record, with the time since the start of the case. */
    synchronized void note(String text) {
        record.println(String.format("%9.1f ms  %s", nowMs(), text));
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, ms) * 1000));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the value of a key of the deploy file, whether it stands in quotes or in triple quotes. */
    private String deployLine(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = '''")) {
                return line.substring((key + " = '''").length(), line.lastIndexOf("'''"));
            } else if (line.startsWith(key + " = \"")) {
                return line.substring((key + " = \"").length(), line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("the deploy file has no line " + key);
    }

    /** Starts a scheduler by the line {@code run}, with a configuration file and a temporary folder of its own. */
    Scheduler start(String name, String config) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name));
        Path tmp = Files.createDirectories(own.resolve("tmp"));
        Path file = own.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().remove("NODE_FD");
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(own.resolve("log.txt").toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")));
        Scheduler scheduler = new Scheduler(name, file, own.resolve("log.txt"), builder.start());
        schedulers.add(scheduler);
        note("scheduler " + name + " is started");
        return scheduler;
    }

    /** A scheduler process. */
    final class Scheduler {
        final String name;
        final Path config;
        final Path log;
        final Process process;

        Scheduler(String name, Path config, Path log, Process process) {
            this.name = name;
            this.config = config;
            this.log = log;
            this.process = process;
        }

        /** Sends a signal to this very process. */
        void signal(String signal) throws Exception {
            note("SIG" + signal + " to scheduler " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Waits until a line of its log holds a text; a scheduler that never says it makes the case impossible. */
        void awaitLog(String text, double ms) throws IOException {
            for (double end = nowMs() + ms; nowMs() < end; sleep(20)) {
                if (logText().contains(text)) {
                    return;
                }
            }
            throw new CannotRun("scheduler " + name + " did not say '" + text + "': " + logText());
        }

        String logText() throws IOException {
            return new String(Files.readAllBytes(log), StandardCharsets.ISO_8859_1);
        }
    }

    private void endSchedulers() {
        for (Scheduler scheduler : schedulers) {
            scheduler.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        endSchedulers();
        for (Scheduler scheduler : schedulers) {
            try {
                scheduler.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            String log = scheduler.logText();
            note("log of scheduler " + scheduler.name + ", its last lines:");
            List<String> lines = log.lines().filter(line -> !line.matches("[a-z_]+[.].*[0-9]+")).toList();
            lines.stream().skip(Math.max(0, lines.size() - 25)).forEach(line -> note("  | " + line));
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }
}
