package plumpost;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.NodeConfig;
import plumpost.config.NodeListReader;
import plumpost.config.SettingsReader;
import plumpost.control.ControlOperations;
import plumpost.control.ControlServer;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.gearman.GearmanFront;
import plumpost.gearman.Packet;
import plumpost.lab.script.Rig;
import plumpost.lab.script.Script;
import plumpost.net.Connection;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.platform.Platform;
import plumpost.time.TimerWheel;

/**
 * The one helper of the scenarios: a whole scheduler in memory, with a clock that stands still between steps. A
 * scenario is lines of {@code who verb words}:
 *
 * <pre>
 * desk1 send POST /route-plan a 8000 body    a front desk's request; "..." sends raw bytes
 * desk1 expect 200 body                      what the scheduler wrote, with * for anything; closed; nothing
 * node1 send done a result                   a line of a route node's answer; likewise other states
 * list send {"seq":...}                      a line of the node list's watch
 * plug1 send SUBMIT_JOB|route-plan|u|data    a Gearman packet; text: sends an admin's line
 * ops1 send POST /control/workers/node1/offline   an operators' call
 * node1 close                                ends the connection, or refuses the ones to come
 * node1 wait                                 new connections hang; with a number, take so many bytes
 * wait 100                                   milliseconds pass
 * </pre>
 */
public final class Scenario {
    /** Settings of the scenarios: two classes, no reports, so that jobs go out at once. */
    public static final String SETTINGS = """
        {"balancers":1,"dcs":["p"],"shapes":["k"],"membershipMode":"on_request","granularityMs":2.0,
        "classes":[{"name":"route-plan","sloMs":600.0,"deadlineMs":8000.0,"effect":"free"},
        {"name":"pickup-order","sloMs":400.0,"deadlineMs":20000.0,"effect":"single_shot","importance":10.0}],
        "ceilings":{"maxAttempts":6,"dialTimeoutMs":250.0,"keepaliveMs":5000.0,"probes":true},
        "rules":{"coldFrom":0.32,"coldMs":400.0,"fallMs":1000.0,"fallMultiple":3.0,"graceToAnswerMs":8.0,
        "mustAskInMs":10000.0,"stopSendingWithinMs":400.0}}""";

    public double now = 1_700_000_000_000.0;
    public final Counters counters = new Counters();
    public final List<String> log = new ArrayList<>();
    public final Platform platform;
    public final GearmanFront gearman;
    public final ControlServer control;
    /** What the operators' ready call says. */
    public boolean serving = true;

    public final DispatchCore room;
    private final NodeConfig config;
    public boolean stopped;
    private final TimerWheel wheel = new TimerWheel(now);
    private final ArrayDeque<Runnable> soon = new ArrayDeque<>();
    private final Map<String, Pipe> pipes = new HashMap<>();
    private final Map<String, Integer> takes = new HashMap<>();
    private final List<String> down = new ArrayList<>();

    /** A scheduler that knows nodes node1 to nodeN. */
    public Scenario(int nodes) {
        this(nodes, SETTINGS);
    }

    /** The same with settings of its own. */
    public Scenario(int nodes, String settings) {
        this(nodes, settings, 1024);
    }

    /** The same with a limit on descriptors of its own. */
    public Scenario(int nodes, String settings, int sockets) {
        this(nodes, settings, sockets, GearmanConfig.usual(null), 64);
    }

    /** A scheduler with a Gearman front as configured, and places for so many open jobs. */
    public Scenario(int nodes, String settings, int sockets, GearmanConfig gearmanConfig, int openJobs) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 1; i <= nodes; i++) {
            hosts.append(i > 1 ? "," : "").append(host(i, "up", 0));
        }
        Json.Fields raw = Json.object("settings", settings.getBytes(StandardCharsets.UTF_8));
        Json.Fields known = Json.object(
                "known", ("{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}").getBytes(StandardCharsets.UTF_8));
        config = new NodeConfig(
                "t",
                new InetSocketAddress("127.0.0.1", 1),
                new InetSocketAddress("127.0.0.1", 8500),
                7,
                sockets,
                SettingsReader.settings(raw),
                raw,
                known,
                gearmanConfig,
                null,
                null);
        room = new DispatchCore(
                config.settings(),
                7,
                () -> now,
                wheel,
                counters,
                new DispatchCore.Bounds(
                        openJobs,
                        Math.max(1 << 20, openJobs * 2048L),
                        64,
                        1 << 20,
                        gearmanConfig.limits().packetBytes()),
                log::add);
        LoopContext kit = new LoopContext(this::dial, () -> now, wheel, counters, log::add);
        platform = new Platform(config, room, kit, () -> 0);
        gearman = new GearmanFront(config, "0", room, kit, () -> stopped = true);
        control = new ControlServer(
                new InetSocketAddress("127.0.0.1", 9600),
                16,
                kit,
                new ControlOperations(room, counters, null, () -> serving));
        platform.begin();
        platform.ready();
        if (config.settings().listOnRequest()) {
            settle();
            pipe("list", false).say("{\"seq\":1,\"whole\":false,\"hosts\":[]}"); // discovery knows what the file knows
            settle();
        }
    }

    /** The timer wheel that the scenario's clock turns. */
    public TimerWheel wheel() {
        return wheel;
    }

    /** The configuration read anew, with discovery at another address. */
    public NodeConfig config(String discovery) {
        return new NodeConfig(
                config.name(),
                config.listen(),
                NodeListReader.address("discovery", discovery),
                config.seed(),
                config.sockets(),
                config.settings(),
                config.raw(),
                config.known(),
                config.gearman(),
                null,
                config.ops());
    }

    /** A host of the node list in discovery's words. */
    public static String host(int node, String health, double born) {
        return "{\"host\":\"node" + node + "\",\"dial\":\"127.0.0.1:" + (9000 + node) + "\",\"site\":\"p\",\"class\":"
                + "\"k\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + born + "}";
    }

    /** This scheduler's Gearman front as a rig of the scenario language; its clock moves while a peer waits. */
    public Rig rig() {
        return new Rig() {
            @Override
            public void send(String who, byte[] bytes) {
                pipe(who, true).hear(ByteBuffer.wrap(bytes));
                settle();
            }

            @Override
            public byte[] take(String who, double longestMs) {
                Pipe p = pipe(who, false);
                for (double end = now + longestMs; p.out.isEmpty() && !p.closed && now < end; pass(2)) {
                    settle();
                }
                byte[] all = p.out.getBytes(StandardCharsets.ISO_8859_1);
                p.out = "";
                return all.length == 0 && p.closed ? null : all;
            }

            @Override
            public void close(String who) {
                pipe(who, false).hangUp();
                settle();
            }

            @Override
            public void pass(double ms) {
                step("wait " + ms);
                settle();
            }
        };
    }

    /** Plays a scenario; each step names itself where it fails. */
    public Scenario play(String steps) {
        for (Script.Step s : Script.parse("scenario", steps).steps()) {
            step(
                    s.who() == null
                            ? "wait " + s.words()
                            : (s.who()
                                            + ' '
                                            + s.verb()
                                                    .name()
                                                    .toLowerCase(Locale.ROOT)
                                                    .replace("hold", "wait")
                                            + ' '
                                            + s.words())
                                    .strip());
            settle();
        }
        return this;
    }

    private void step(String line) {
        String[] w = line.split(" ", 3);
        String rest = w.length > 2 ? w[2] : "";
        if (line.isEmpty() || line.startsWith("#")) {
            return;
        }
        if (w[0].equals("wait")) {
            for (double end = now + Double.parseDouble(w[1]); now < end; now += 2) {
                wheel.turnTo(now);
                settle();
            }
            wheel.turnTo(now);
            return;
        }
        switch (w[1]) {
            case "send" -> pipe(w[0], true).say(rest);
            case "expect" -> expect(line, pipe(w[0], false), rest);
            case "wait" -> takes.put(w[0], rest.isEmpty() ? -1 : Integer.parseInt(rest));
            case "close" -> {
                Pipe p = pipes.get(w[0]);
                if (p == null || p.closed) {
                    down.add(w[0]);
                } else {
                    p.hangUp();
                }
            }
            default -> throw new IllegalArgumentException(line);
        }
    }

    private void expect(String step, Pipe p, String wanted) {
        if (p.who.startsWith("node") && wanted.startsWith("POST /pickup-order")) {
            step("wait 6"); // an order's last byte follows the others
        }
        String got = p.closed && wanted.equals("closed") ? "closed" : p.next(wanted.startsWith("\""));
        String regex = "\\Q" + unquote(wanted).replace("*", "\\E.*\\Q") + "\\E";
        assertThat(got).as(step).matches(java.util.regex.Pattern.compile(regex, java.util.regex.Pattern.DOTALL));
    }

    private static String unquote(String s) {
        return s.startsWith("\"") ? s.substring(1, s.length() - 1).translateEscapes() : s;
    }

    private void settle() {
        for (Runnable r = soon.poll(); r != null; r = soon.poll()) {
            r.run();
        }
    }

    private Pipe pipe(String who, boolean fresh) {
        Pipe p = pipes.get(who);
        boolean dialled = who.startsWith("node") || who.startsWith("list");
        if (p == null && dialled) {
            return new Pipe(who);
        }
        if (p == null || p.closed && fresh && !dialled) {
            p = new Pipe(who);
            pipes.put(who, p);
            p.up = true;
            p.user = who.startsWith("desk")
                    ? platform.accept(p)
                    : who.startsWith("ops") ? control.accept(p) : gearman.accept(p);
        }
        return p;
    }

    private Connection dial(InetSocketAddress to, Function<Connection, ConnectionHandler> user) {
        String who = to.getPort() < 9000
                ? "list" + (to.getPort() == 8500 ? "" : to.getPort())
                : "node" + (to.getPort() - 9000);
        Pipe p = new Pipe(who);
        p.user = user.apply(p);
        p.window = takes.getOrDefault(who, Integer.MAX_VALUE);
        if (!down.contains(who)) {
            pipes.put(who, p);
        }
        if (down.contains(who)) {
            soon.add(p::hangUp);
        } else if (p.window >= 0) {
            soon.add(() -> {
                p.up = true;
                p.user.opened();
                p.flush();
            });
        }
        return p;
    }

    /** One connection in memory: the scheduler holds it as a wire, the scenario speaks at its other end. */
    private final class Pipe implements Connection {
        private final String who;
        private ConnectionHandler user;
        private final ArrayDeque<ByteBuffer> held = new ArrayDeque<>();
        private String out = "";
        private int window = Integer.MAX_VALUE;
        private boolean up;
        private boolean closed;
        private boolean answering;

        Pipe(String who) {
            this.who = who;
        }

        void hangUp() {
            closed = true;
            user.ended();
        }

        void say(String words) {
            String raw = words;
            if (words.startsWith("\"")) {
                raw = unquote(words);
            } else if (words.startsWith("text:")) {
                raw = words.substring(5) + "\n";
            } else if (who.startsWith("ops")) {
                String[] p = words.split(" ");
                raw = p[0] + " " + p[1] + " HTTP/1.1\r\nHost: h\r\n\r\n";
            } else if (who.startsWith("desk")) {
                String[] p = (words + " x").split(" ");
                raw = p[0].equals("GET")
                        ? "GET " + p[1] + " HTTP/1.1\r\nHost: h\r\n\r\n"
                        : p[0] + " " + p[1]
                                + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + p[2] + "\r\nX-Remaining-Ms: " + p[3]
                                + "\r\nContent-Length: " + p[4].length() + "\r\n\r\n" + p[4];
            } else if (who.startsWith("plug")) {
                String[] p = words.split("\\|", -1);
                Object[] arguments = new Object[p.length - 1];
                for (int i = 1; i < p.length; i++) {
                    arguments[i - 1] = p[i].equals("$") ? lastHandle : p[i];
                }
                hear(Packet.bytes(Packet.REQUEST, Packet.Type.valueOf(p[0]), arguments));
                return;
            } else {
                String[] p = words.split(" ");
                String line = words.startsWith("{")
                        ? words
                        : "{\"id\":\"" + p[1] + "\",\"state\":\"" + p[0] + "\",\"result\":\""
                                + (p.length > 2 ? p[2] : "") + "\"}";
                boolean last = !who.startsWith("list") && !p[0].equals("started");
                raw = (answering ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        + Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n" + (last ? "0\r\n\r\n" : "");
                answering = !last;
            }
            hear(ByteBuffer.wrap(raw.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** Fed byte by byte: no machine may lean on how bytes arrive. */
        private void hear(ByteBuffer... all) {
            for (ByteBuffer b : all) {
                while (b != null && b.hasRemaining() && !closed) {
                    user.bytes(ByteBuffer.wrap(new byte[] {b.get()}));
                }
            }
        }

        /** Takes the next message out of what the scheduler wrote, in the words of {@code expect}. */
        String next(boolean raw) {
            String all = out;
            if (all.isEmpty()) {
                return closed ? "closed" : "nothing";
            }
            if (raw) {
                out = "";
                return all;
            }
            if (all.charAt(0) == 0) {
                int size = all.charAt(8) << 24 | all.charAt(9) << 16 | all.charAt(10) << 8 | all.charAt(11);
                out = all.substring(12 + size);
                String name = "?";
                for (Packet.Type t : Packet.Type.values()) {
                    name = Packet.bytes(0, t)[0].getInt(4) == all.charAt(7) ? t.name() : name;
                }
                String words = all.substring(12, 12 + size).replace('\0', '|');
                if (words.startsWith("H:")) {
                    lastHandle = words.split("\\|")[0];
                }
                return words.isEmpty() ? name : name + "|" + words;
            }
            int head = all.indexOf("\r\n\r\n") + 4;
            int from = all.indexOf("Content-Length: ") + 16;
            int length =
                    from > 15 && from < head ? Integer.parseInt(all.substring(from, all.indexOf("\r\n", from))) : 0;
            out = all.substring(head + length);
            String body = all.substring(head, head + length);
            String[] start = all.substring(0, all.indexOf("\r\n")).split(" ");
            String id = all.contains("X-Txn: ") ? all.replaceAll("(?s).*X-Txn: (\\S+).*", "$1") : "";
            String told = start[0].startsWith("HTTP") ? start[1] : start[0] + " " + start[1] + " " + id;
            return (told + " " + body).strip();
        }

        @Override
        public void write(ByteBuffer... parts) {
            for (ByteBuffer p : parts) {
                held.add(p.duplicate());
            }
            flush();
        }

        private void flush() {
            for (ByteBuffer b = held.peek(); up && b != null; b = held.peek()) {
                int n = Math.min(window, b.remaining());
                byte[] bytes = new byte[n];
                b.get(bytes);
                window -= window == Integer.MAX_VALUE ? 0 : n;
                out += new String(bytes, StandardCharsets.ISO_8859_1);
                if (b.hasRemaining()) {
                    return;
                }
                held.poll();
            }
            if (up && user != null && !closed) {
                user.flushed();
            }
        }

        @Override
        public boolean flushed() {
            return up && held.isEmpty();
        }

        @Override
        public void finish() {
            closed = true;
        }

        @Override
        public void cut() {
            closed = true;
        }

        @Override
        public void look() {}
    }

    private String lastHandle = "";
}
