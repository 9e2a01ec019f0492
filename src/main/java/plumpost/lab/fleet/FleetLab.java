package plumpost.lab.fleet;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.NodeConfig;
import plumpost.config.PeersConfig;
import plumpost.fleet.FleetCodec;
import plumpost.peers.Fleet;
import plumpost.peers.Peers;

/**
 * Fleet of real scheduler processes on loopback, run from the built program, each with its own data directory and with a
 * fault proxy on every link between them. All processes are killed by {@link #close()} and by a shutdown hook, so that
 * none outlives this program.
 */
public final class FleetLab implements Closeable {
    /** Number of ports per test fork: laboratories that run side by side use separate ranges. */
    private static final int PORT_RANGE = 4_000;

    private static final int LOWEST_PORT = 20_000 + Integer.getInteger("plumpost.lab.fork", 1) % 3 * PORT_RANGE;

    /**
     * Program, size and settings of a fleet.
     *
     * @param configTemplate configuration file from which each process's file is made
     * @param directory where the configuration files, data and control files are written
     * @param extraPeerSettings JSON fields added to the settings of the peers, each followed by a comma
     * @param extraSettings JSON fields added to the configuration, with {@code $site} for the process's site
     */
    public record FleetSpec(
            Path jar,
            Path configTemplate,
            Path directory,
            int voters,
            int followers,
            int sites,
            String extraPeerSettings,
            String extraSettings) {}

    private final FleetSpec plan;
    private final FaultNet net = new FaultNet();
    private final History history = new History();
    private final Map<String, SchedulerProcess> processes = new LinkedHashMap<>();
    private final Random random = new Random();
    private final Set<Integer> ports = new HashSet<>();
    private final Fleet.Maker peersMaker = Peers.maker();
    private final Thread shutdownHook = new Thread(this::killAll);

    /** One scheduler process with its name, ports and configuration file. */
    public final class SchedulerProcess {
        private final String name;
        private final String site;
        private final boolean voter;
        private final int peerPort = allocatePort();
        private final int httpPort = allocatePort();
        private final int gearmanPort = allocatePort();
        private final int opsPort = allocatePort();
        private final Path configFile;
        private Map<String, String> environment = Map.of();
        private Process process;
        private int recordFormat = FleetCodec.FORMAT;

        private SchedulerProcess(String name, String site, boolean vote) {
            this.name = name;
            this.site = site;
            this.voter = vote;
            this.configFile = plan.directory.resolve(name + ".json");
        }

        /** Returns the name of the scheduler. */
        public String name() {
            return name;
        }

        /** Returns the site of the scheduler. */
        public String site() {
            return site;
        }

        /** Returns the port of its Gearman front. */
        public int gearmanPort() {
            return gearmanPort;
        }

        /** Returns the port of its HTTP front. */
        public int httpPort() {
            return httpPort;
        }

        /** Returns the port of its operators' listener. */
        public int opsPort() {
            return opsPort;
        }

        /** Tells whether it has a vote. */
        public boolean isVoter() {
            return voter;
        }

        /** Returns its data directory. */
        public Path dataDirectory() {
            return plan.directory.resolve(name);
        }

        /** Tells whether its process exists, suspended by SIGSTOP or not. */
        public boolean isRunning() {
            return process != null && process.isAlive();
        }

        /** Returns the id of its latest process. */
        public long pid() {
            return process.pid();
        }

        /** Sets the newest record format that the program reads, from its next start on. */
        public void setRecordFormat(int newest) {
            recordFormat = newest;
        }

        /** Starts its process. */
        public void start() throws IOException {
            start(List.of());
        }

        /** Starts its process with a command in front of java, for instance one that sets resource limits. */
        public void start(List<String> prefix) throws IOException {
            List<String> command = new ArrayList<>(prefix);
            command.addAll(List.of(
                    ProcessHandle.current().info().command().orElse("java"),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx96m",
                    "-Xss256k",
                    "-Djava.net.preferIPv4Stack=true",
                    "-Dplumpost.lab=" + plan.directory,
                    "-Dplumpost.lab.format=" + recordFormat,
                    "-jar",
                    plan.jar.toString(),
                    "serve",
                    "--config",
                    configFile.toString()));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().removeIf(n -> n.startsWith("NODE_"));
            builder.environment().putAll(environment);
            process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            history.add(name, "start", Long.toString(process.pid()));
            BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
            Process started = process;
            Thread reader = new Thread(
                    () -> {
                        log.lines().forEach(l -> history.add(name, "log", l));
                        try {
                            history.add(name, "end", Integer.toString(started.waitFor()));
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "log of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        /** Makes its event loop halt at a boundary, such as {@code before Begin}, or continue from there. */
        public void setHalt(String boundary, boolean on) throws IOException {
            history.add(name, on ? "halt" : "go on", boundary);
            writeControlFile(".halt", on ? boundary : null);
        }

        /** Delays each sync of its log by {@code ms} milliseconds; 0 ends the delay. */
        public void setSyncDelay(int ms) throws IOException {
            history.add(name, "disk", ms + " ms a sync");
            writeControlFile(".disk", ms > 0 ? Integer.toString(ms) : null);
        }

        private void writeControlFile(String suffix, String content) throws IOException {
            Path control = plan.directory.resolve(name + suffix);
            if (content == null) {
                Files.deleteIfExists(control);
            } else {
                Path temporary = plan.directory.resolve(name + suffix + ".new");
                Files.writeString(temporary, content);
                Files.move(temporary, control, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            }
        }

        /** Sets additional environment variables for its next process, such as those of a fault library. */
        public void setEnvironment(Map<String, String> more) {
            environment = Map.copyOf(more);
        }

        /** Sends its process a signal by name: KILL, STOP, CONT or TERM. */
        public void signal(String signal) throws IOException, InterruptedException {
            history.add(name, "signal", signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Waits for its process to exit; false on timeout. */
        public boolean awaitExit(long timeoutMs) throws InterruptedException {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        }

        /** Deletes its data directory, as if its disk had been replaced. */
        public void deleteData() throws IOException {
            history.add(name, "wipe", "");
            if (Files.exists(dataDirectory())) {
                try (Stream<Path> files = Files.walk(dataDirectory())) {
                    for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(p);
                    }
                }
            }
        }

        private String config(String members) throws IOException {
            String text = Files.readString(plan.configTemplate)
                    .replace("127.0.0.1:8000", "127.0.0.1:" + httpPort)
                    .replace("127.0.0.1:4730", "127.0.0.1:" + gearmanPort)
                    .replaceFirst("\"name\": \"[^\"]*\"", "\"name\": \"" + name + "\"");
            return text.replaceFirst(
                    "\"seed\": \"[^\"]*\"",
                    "\"seed\": \"" + Integer.toHexString(name.hashCode()) + "\", "
                            + plan.extraSettings.replace("$site", site) + "\"ops\": \"127.0.0.1:" + opsPort
                            + "\", \"peers\": {\"group\": \"lab\", "
                            + "\"data\": \"" + dataDirectory() + "\", " + plan.extraPeerSettings + "\"members\": ["
                            + members + "]}");
        }
    }

    /** Writes the configuration of all processes and opens the links between them; starts none. */
    public FleetLab(FleetSpec plan) throws IOException {
        this.plan = plan;
        Files.createDirectories(plan.directory);
        for (int i = 1; i <= plan.voters + plan.followers; i++) {
            SchedulerProcess process =
                    new SchedulerProcess("s" + i, "site" + (1 + (i - 1) % plan.sites), i <= plan.voters);
            processes.put(process.name, process);
        }
        for (SchedulerProcess process : processes.values()) {
            List<String> members = new ArrayList<>();
            for (SchedulerProcess member : processes.values()) {
                int port =
                        member == process ? member.peerPort : net.openLink(process.name, member.name, member.peerPort);
                members.add("{\"name\": \"" + member.name + "\", \"address\": \"127.0.0.1:" + port + "\", \"site\": \""
                        + member.site + "\", \"vote\": " + member.voter + "}");
            }
            Files.writeString(process.configFile, process.config(String.join(", ", members)));
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    private int allocatePort() {
        while (true) {
            int port = LOWEST_PORT + random.nextInt(PORT_RANGE);
            if (!ports.add(port)) {
                continue;
            }
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (IOException e) {
                // in use by another program: try the next
            }
        }
    }

    /** Returns all processes, the voters first. */
    public List<SchedulerProcess> processes() {
        return List.copyOf(processes.values());
    }

    /** Returns a process by name, or null. */
    public SchedulerProcess process(String name) {
        return processes.get(name);
    }

    /** Returns the fault proxy for the links between the processes. */
    public FaultNet net() {
        return net;
    }

    /** Returns the history of the fleet. */
    public History history() {
        return history;
    }

    /** Cuts the directions from a process to all others, from them to it, or both; or restores them. */
    public void cutOff(String name, boolean sends, boolean hears, boolean cut) {
        history.add(name, cut ? "cut" : "heal", (sends ? "sends " : "") + (hears ? "hears" : ""));
        for (String other : processes.keySet()) {
            if (!other.equals(name)) {
                if (sends) {
                    net.setCut(name, other, cut);
                }
                if (hears) {
                    net.setCut(other, name, cut);
                }
            }
        }
    }

    /** Returns the fleet's status, requested through the configuration of one member, or null if nobody answers. */
    public Fields show(SchedulerProcess through) {
        try {
            return Json.object("fleet", runCommand(through, "show", "").getBytes(StandardCharsets.UTF_8));
        } catch (IOException | BadInput e) {
            return null;
        }
    }

    /** Runs the command show, yield or remove through the configuration of one member. */
    public String runCommand(SchedulerProcess through, String command, String argument) throws IOException {
        return peersMaker.call(
                PeersConfig.fromNodeConfig(NodeConfig.from(
                        Json.object("configuration", Files.readAllBytes(through.configFile)), Map.of())),
                command,
                argument);
    }

    /** Returns the name of a duty's owner from the fleet's status, or an empty string. */
    public static String ownerOf(Fields status, String duty) {
        return dutyField(status, duty, "owner") instanceof String s ? s : "";
    }

    /** Returns a field of a duty from the fleet's status, or null. */
    public static Object dutyField(Fields status, String duty, String field) {
        return status == null
                ? null
                : status.list("duties").stream()
                        .map(d -> (Map<?, ?>) d)
                        .filter(d -> duty.equals(d.get("name")))
                        .findFirst()
                        .<Object>map(d -> d.get(field))
                        .orElse(null);
    }

    /** Returns a member's state from the fleet's status, or an empty string. */
    public static String memberState(Fields status, String name) {
        return status == null
                ? ""
                : status.list("members").stream()
                        .map(member -> (Map<?, ?>) member)
                        .filter(member -> name.equals(member.get("name")))
                        .findFirst()
                        .map(member -> (String) member.get("state"))
                        .orElse("");
    }

    private void killAll() {
        for (SchedulerProcess process : processes.values()) {
            if (process.process != null) {
                process.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (SchedulerProcess process : processes.values()) {
            try {
                if (process.process != null) {
                    process.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        net.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
