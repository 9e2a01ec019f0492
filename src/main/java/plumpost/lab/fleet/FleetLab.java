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
import plumpost.peers.Fleet;
import plumpost.peers.Peers;

/**
 * A fleet of real processes of the built program on loopback, a directory each, with a fault proxy on every link between
 * them. Each process is ended by its id on every way out, that of this program's own end too.
 */
public final class FleetLab implements Closeable {
    /** Ports of laboratories that run side by side: each has a range of its own. */
    private static final int RANGE = 4_000;

    private static final int LOWEST_PORT = 20_000 + Integer.getInteger("plumpost.lab.fork", 1) % 3 * RANGE;

    /** What a fleet is made of. */
    public record Plan(
            Path jar, Path like, Path folder, int voters, int followers, int sites, String peersMore, String more) {}

    private final Plan plan;
    private final FaultNet net = new FaultNet();
    private final History history = new History();
    private final Map<String, One> all = new LinkedHashMap<>();
    private final Random random = new Random();
    private final Set<Integer> ports = new HashSet<>();
    private final Fleet.Maker maker = Peers.maker();
    private final Thread last = new Thread(this::killAll);

    /** One process: its name, ports and file. */
    public final class One {
        private final String name;
        private final String site;
        private final boolean vote;
        private final int peers = port();
        private final int http = port();
        private final int gearman = port();
        private final int ops = port();
        private final Path file;
        private Map<String, String> environment = Map.of();
        private Process process;
        private int format = 1;

        private One(String name, String site, boolean vote) {
            this.name = name;
            this.site = site;
            this.vote = vote;
            this.file = plan.folder.resolve(name + ".json");
        }

        /** Its name. */
        public String name() {
            return name;
        }

        /** Its site. */
        public String site() {
            return site;
        }

        /** Where its Gearman front is. */
        public int gearman() {
            return gearman;
        }

        /** Where its front of the platform is. */
        public int http() {
            return http;
        }

        /** Where its operators' listener is. */
        public int ops() {
            return ops;
        }

        /** Whether it has a vote. */
        public boolean vote() {
            return vote;
        }

        /** Its data directory. */
        public Path data() {
            return plan.folder.resolve(name);
        }

        /** Whether its process runs, stopped or not. */
        public boolean runs() {
            return process != null && process.isAlive();
        }

        /** Its process's id. */
        public long pid() {
            return process.pid();
        }

        /** From its next start on it takes itself for a program that reads so new a record format. */
        public void format(int newest) {
            format = newest;
        }

        /** Starts its process. */
        public void start() throws IOException {
            start(List.of());
        }

        /** Starts its process by a command before java's, for instance one that sets limits. */
        public void start(List<String> before) throws IOException {
            List<String> command = new ArrayList<>(before);
            command.addAll(List.of(
                    ProcessHandle.current().info().command().orElse("java"),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx96m",
                    "-Xss256k",
                    "-Djava.net.preferIPv4Stack=true",
                    "-Dplumpost.lab=" + plan.folder,
                    "-Dplumpost.lab.format=" + format,
                    "-jar",
                    plan.jar.toString(),
                    "serve",
                    "--config",
                    file.toString()));
            ProcessBuilder b = new ProcessBuilder(command);
            b.environment().keySet().removeIf(n -> n.startsWith("NODE_"));
            b.environment().putAll(environment);
            process = b.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            history.add(name, "start", Long.toString(process.pid()));
            BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
            Process mine = process;
            Thread reader = new Thread(
                    () -> {
                        log.lines().forEach(l -> history.add(name, "log", l));
                        try {
                            history.add(name, "end", Integer.toString(mine.waitFor()));
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "log of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        /** Has its loop stand still at a boundary, such as {@code before Begin}, or go on from there. */
        public void halt(String boundary, boolean on) throws IOException {
            history.add(name, on ? "halt" : "go on", boundary);
            tell(".halt", on ? boundary : null);
        }

        /** Makes each sync of its log longer, 0 for as it is. */
        public void slowDisk(int ms) throws IOException {
            history.add(name, "disk", ms + " ms a sync");
            tell(".disk", ms > 0 ? Integer.toString(ms) : null);
        }

        private void tell(String what, String words) throws IOException {
            Path control = plan.folder.resolve(name + what);
            if (words == null) {
                Files.deleteIfExists(control);
            } else {
                Path whole = plan.folder.resolve(name + what + ".new");
                Files.writeString(whole, words);
                Files.move(whole, control, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            }
        }

        /** What its next process finds in its environment besides, such as a library of faults. */
        public void environment(Map<String, String> more) {
            environment = Map.copyOf(more);
        }

        /** Sends its process a signal by name: KILL, STOP, CONT or TERM. */
        public void signal(String signal) throws IOException, InterruptedException {
            history.add(name, "signal", signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Waits for its process's end; false where that does not come in time. */
        public boolean ended(long patienceMs) throws InterruptedException {
            return process.waitFor(patienceMs, TimeUnit.MILLISECONDS);
        }

        /** Removes its data directory, as a disk that was replaced. */
        public void wipe() throws IOException {
            history.add(name, "wipe", "");
            if (Files.exists(data())) {
                try (Stream<Path> files = Files.walk(data())) {
                    for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(p);
                    }
                }
            }
        }

        private String config(String members) throws IOException {
            String text = Files.readString(plan.like)
                    .replace("127.0.0.1:8000", "127.0.0.1:" + http)
                    .replace("127.0.0.1:4730", "127.0.0.1:" + gearman)
                    .replaceFirst("\"name\": \"[^\"]*\"", "\"name\": \"" + name + "\"");
            return text.replaceFirst(
                    "\"seed\": \"[^\"]*\"",
                    "\"seed\": \"" + Integer.toHexString(name.hashCode()) + "\", "
                            + plan.more.replace("$site", site) + "\"ops\": \"127.0.0.1:" + ops
                            + "\", \"peers\": {\"group\": \"lab\", "
                            + "\"data\": \"" + data() + "\", " + plan.peersMore + "\"members\": [" + members + "]}");
        }
    }

    /** A fleet whose processes are not started yet. */
    public FleetLab(Plan plan) throws IOException {
        this.plan = plan;
        Files.createDirectories(plan.folder);
        for (int i = 1; i <= plan.voters + plan.followers; i++) {
            One o = new One("s" + i, "site" + (1 + (i - 1) % plan.sites), i <= plan.voters);
            all.put(o.name, o);
        }
        for (One o : all.values()) {
            List<String> members = new ArrayList<>();
            for (One m : all.values()) {
                int port = m == o ? m.peers : net.link(o.name, m.name, m.peers);
                members.add("{\"name\": \"" + m.name + "\", \"address\": \"127.0.0.1:" + port + "\", \"site\": \""
                        + m.site + "\", \"vote\": " + m.vote + "}");
            }
            Files.writeString(o.file, o.config(String.join(", ", members)));
        }
        Runtime.getRuntime().addShutdownHook(last);
    }

    private int port() {
        while (true) {
            int p = LOWEST_PORT + random.nextInt(RANGE);
            if (!ports.add(p)) {
                continue;
            }
            try (ServerSocket free = new ServerSocket(p, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (IOException e) {
                // another's: try the next
            }
        }
    }

    /** The processes, by their order. */
    public List<One> all() {
        return List.copyOf(all.values());
    }

    /** One of them by name. */
    public One one(String name) {
        return all.get(name);
    }

    /** The links between them. */
    public FaultNet net() {
        return net;
    }

    /** What was seen. */
    public History history() {
        return history;
    }

    /** Cuts what one sends to all others, what it hears of them, or both; or heals that. */
    public void cutOff(String name, boolean sends, boolean hears, boolean cut) {
        history.add(name, cut ? "cut" : "heal", (sends ? "sends " : "") + (hears ? "hears" : ""));
        for (String other : all.keySet()) {
            if (!other.equals(name)) {
                if (sends) {
                    net.cut(name, other, cut);
                }
                if (hears) {
                    net.cut(other, name, cut);
                }
            }
        }
    }

    /** What the fleet says of itself, asked through one member's file, or null where nobody answers. */
    public Fields show(One through) {
        try {
            return Json.object("fleet", call(through, "show", "").getBytes(StandardCharsets.UTF_8));
        } catch (IOException | BadInput e) {
            return null;
        }
    }

    /** Runs a command, show, yield or remove, through one member's file. */
    public String call(One through, String command, String argument) throws IOException {
        return maker.call(
                PeersConfig.of(
                        NodeConfig.from(Json.object("configuration", Files.readAllBytes(through.file)), Map.of())),
                command,
                argument);
    }

    /** The owner of a duty by what the fleet says, or an empty text. */
    public static String owner(Fields page, String duty) {
        return duty(page, duty, "owner") instanceof String s ? s : "";
    }

    /** A field of a duty by what the fleet says, or null. */
    public static Object duty(Fields page, String duty, String field) {
        return page == null
                ? null
                : page.list("duties").stream()
                        .map(d -> (Map<?, ?>) d)
                        .filter(d -> duty.equals(d.get("name")))
                        .findFirst()
                        .<Object>map(d -> d.get(field))
                        .orElse(null);
    }

    /** A member's state by what the fleet says, or an empty text. */
    public static String state(Fields page, String name) {
        return page == null
                ? ""
                : page.list("members").stream()
                        .map(m -> (Map<?, ?>) m)
                        .filter(m -> name.equals(m.get("name")))
                        .findFirst()
                        .map(m -> (String) m.get("state"))
                        .orElse("");
    }

    private void killAll() {
        for (One o : all.values()) {
            if (o.process != null) {
                o.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (One o : all.values()) {
            try {
                if (o.process != null) {
                    o.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        net.close();
        Runtime.getRuntime().removeShutdownHook(last);
    }
}
