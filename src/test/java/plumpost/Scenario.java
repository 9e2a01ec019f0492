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
import plumpost.net.Network;
import plumpost.platform.Platform;
import plumpost.time.TimerWheel;

/**
 * Runs a whole scheduler in memory for scenario tests, with a clock that stands still between steps. Each line of a
 * scenario is {@code peer verb arguments}:
 *
 * <pre>
 * desk1 send POST /route-plan a 8000 body    an HTTP client's request; "..." sends raw bytes
 * desk1 expect 200 body                      the next message; * matches anything; or closed, nothing
 * node1 send done a result                   a progress line of a route node's answer
 * list send {"seq":...}                      a line of discovery's answer to the open list request
 * plug1 send SUBMIT_JOB|route-plan|u|data    a Gearman packet; text: sends an admin line
 * ops1 send POST /control/workers/node1/offline   a request to the control API
 * node1 close                                closes the connection; if none is open, refuses new ones
 * node1 wait                                 new connections hang; with a number, read that many bytes
 * wait 100                                   advances the clock by milliseconds
 * </pre>
 */
public final class Scenario {
    /** Default settings: two classes and no reports, so that jobs are sent at once. */
    public static final String SETTINGS = """
        {"balancers":1,"dcs":["p"],"shapes":["k"],"membershipMode":"on_request","granularityMs":2.0,
        "classes":[{"name":"route-plan","sloMs":600.0,"deadlineMs":8000.0,"effect":"free"},
        {"name":"pickup-order","sloMs":400.0,"deadlineMs":20000.0,"effect":"single_shot","importance":10.0}],
        "ceilings":{"maxAttempts":6,"dialTimeoutMs":250.0,"keepaliveMs":5000.0,"probes":true},
        "rules":{"coldFrom":0.32,"coldMs":400.0,"fallMs":1000.0,"fallMultiple":3.0,"graceToAnswerMs":8.0,
        "mustAskInMs":10000.0,"stopSendingWithinMs":400.0}}""";

    public double nowMs = 1_700_000_000_000.0;
    public final Counters counters = new Counters();
    public final List<String> log = new ArrayList<>();
    public final Platform platform;
    public final GearmanFront gearman;
    public final ControlServer control;
    /** Whether the control API's ready call reports the scheduler as serving. */
    public boolean serving = true;

    public final DispatchCore core;
    private final NodeConfig config;
    /** Whether the Gearman front has asked for the process to stop. */
    public boolean stopRequested;

    private final TimerWheel wheel = new TimerWheel(nowMs);
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private final Map<String, MemoryConnection> connections = new HashMap<>();
    private final Map<String, Integer> readLimits = new HashMap<>();
    private final List<String> refusedPeers = new ArrayList<>();

    /** Starts a scheduler with default settings whose node list has node1 to nodeN. */
    public Scenario(int nodes) {
        this(nodes, SETTINGS);
    }

    /** Starts a scheduler with the given settings, in the JSON of the settings file. */
    public Scenario(int nodes, String settings) {
        this(nodes, settings, 1024);
    }

    /** Starts a scheduler with the given settings and limit on file descriptors. */
    public Scenario(int nodes, String settings, int sockets) {
        this(nodes, settings, sockets, GearmanConfig.withDefaults(null), 64);
    }

    /** Starts a scheduler with the given Gearman configuration and limit on open jobs. */
    public Scenario(int nodes, String settings, int sockets, GearmanConfig gearmanConfig, int openJobs) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 1; i <= nodes; i++) {
            hosts.append(i > 1 ? "," : "").append(hostEntry(i, "up", 0));
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
        core = new DispatchCore(
                config.settings(),
                7,
                () -> nowMs,
                wheel,
                counters,
                new DispatchCore.Bounds(
                        openJobs,
                        Math.max(1 << 20, openJobs * 2048L),
                        64,
                        1 << 20,
                        gearmanConfig.limits().packetBytes()),
                log::add);
        LoopContext context = new LoopContext(new MemoryNetwork(), () -> nowMs, wheel, counters, log::add);
        platform = new Platform(config, core, context, () -> 0, 1 << 20);
        gearman = new GearmanFront(config, "0", core, context, () -> stopRequested = true);
        control = new ControlServer(
                new InetSocketAddress("127.0.0.1", 9600),
                16,
                context,
                new ControlOperations(core, counters, null, () -> serving));
        platform.start();
        platform.ready();
        if (config.settings().listOnRequest()) {
            runPendingEvents();
            connection("list", false)
                    .send("{\"seq\":1,\"whole\":false,\"hosts\":[]}"); // discovery has no changes since the file
            runPendingEvents();
        }
    }

    /** The timer wheel driven by the scenario's clock. */
    public TimerWheel wheel() {
        return wheel;
    }

    /** Returns a configuration of the Gearman front with the given rules of functions in JSON. */
    public static GearmanConfig gearmanConfig(String settings, String functionRules) {
        String section = "{\"listen\":\"127.0.0.1:4730\",\"grabHoldMs\":0,\"functions\":" + functionRules + "}";
        return NodeConfig.gearman(
                Json.object("gearman", section.getBytes(StandardCharsets.UTF_8)),
                Json.object("settings", settings.getBytes(StandardCharsets.UTF_8)));
    }

    /** Applies new settings in JSON and new rules of functions, as at SIGHUP. */
    public Scenario applyFile(String settings, String functionRules) {
        Json.Fields raw = Json.object("settings", settings.getBytes(StandardCharsets.UTF_8));
        NodeConfig file = new NodeConfig(
                config.name(),
                config.listen(),
                config.discovery(),
                config.seed(),
                config.sockets(),
                SettingsReader.settings(raw),
                raw,
                config.lastNodeList(),
                gearmanConfig(settings, functionRules),
                null,
                config.ops());
        core.retune(file.settings());
        platform.reload(file);
        gearman.reload(file);
        runPendingEvents();
        return this;
    }

    /** A copy of the configuration with another discovery address, as after a reload. */
    public NodeConfig configWithDiscovery(String discovery) {
        return new NodeConfig(
                config.name(),
                config.listen(),
                NodeListReader.parseAddress("discovery", discovery),
                config.seed(),
                config.sockets(),
                config.settings(),
                config.rawSettings(),
                config.lastNodeList(),
                config.gearman(),
                null,
                config.ops());
    }

    /** A host entry of the node list in discovery's JSON. */
    public static String hostEntry(int node, String health, double bornMs) {
        return "{\"host\":\"node" + node + "\",\"dial\":\"127.0.0.1:" + (9000 + node) + "\",\"site\":\"p\",\"class\":"
                + "\"k\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    /** Adapts this scheduler's Gearman front to the script language; the clock advances while a peer waits. */
    public Rig scriptRig() {
        return new Rig() {
            @Override
            public void send(String peer, byte[] bytes) {
                connection(peer, true).deliver(ByteBuffer.wrap(bytes));
                runPendingEvents();
            }

            @Override
            public byte[] receive(String peer, double timeoutMs) {
                MemoryConnection connection = connection(peer, false);
                for (double end = nowMs + timeoutMs;
                        connection.output.isEmpty() && !connection.closed && nowMs < end;
                        advance(2)) {
                    runPendingEvents();
                }
                byte[] bytes = connection.output.getBytes(StandardCharsets.ISO_8859_1);
                connection.output = "";
                return bytes.length == 0 && connection.closed ? null : bytes;
            }

            @Override
            public void close(String peer) {
                connection(peer, false).closeByPeer();
                runPendingEvents();
            }

            @Override
            public void advance(double ms) {
                runStep("wait " + ms);
                runPendingEvents();
            }
        };
    }

    /** Runs the steps of a scenario; a failed expectation names its step. */
    public Scenario play(String steps) {
        for (Script.Step step : Script.parse("scenario", steps).steps()) {
            runStep(
                    step.peer() == null
                            ? "wait " + step.text()
                            : (step.peer()
                                            + ' '
                                            + step.verb()
                                                    .name()
                                                    .toLowerCase(Locale.ROOT)
                                                    .replace("hold", "wait")
                                            + ' '
                                            + step.text())
                                    .strip());
            runPendingEvents();
        }
        return this;
    }

    private void runStep(String line) {
        String[] words = line.split(" ", 3);
        String arguments = words.length > 2 ? words[2] : "";
        if (line.isEmpty() || line.startsWith("#")) {
            return;
        }
        if (words[0].equals("wait")) {
            for (double end = nowMs + Double.parseDouble(words[1]); nowMs < end; nowMs += 2) {
                wheel.advanceTo(nowMs);
                runPendingEvents();
            }
            wheel.advanceTo(nowMs);
            return;
        }
        switch (words[1]) {
            case "send" -> connection(words[0], true).send(arguments);
            case "expect" -> expectMessage(line, connection(words[0], false), arguments);
            case "wait" -> readLimits.put(words[0], arguments.isEmpty() ? -1 : Integer.parseInt(arguments));
            case "close" -> {
                MemoryConnection connection = connections.get(words[0]);
                if (connection == null || connection.closed) {
                    refusedPeers.add(words[0]);
                } else {
                    connection.closeByPeer();
                }
            }
            default -> throw new IllegalArgumentException(line);
        }
    }

    private void expectMessage(String step, MemoryConnection connection, String expected) {
        if (connection.peer.startsWith("node") && expected.startsWith("POST /pickup-order")) {
            runStep("wait 6"); // the last byte of an order is sent after the others
        }
        String actual = connection.closed && expected.equals("closed")
                ? "closed"
                : connection.takeNext(expected.startsWith("\""));
        String regex = "\\Q" + unquote(expected).replace("*", "\\E.*\\Q") + "\\E";
        assertThat(actual).as(step).matches(java.util.regex.Pattern.compile(regex, java.util.regex.Pattern.DOTALL));
    }

    private static String unquote(String text) {
        return text.startsWith("\"") ? text.substring(1, text.length() - 1).translateEscapes() : text;
    }

    /** Runs the pending connection events, including those that they add. */
    private void runPendingEvents() {
        while (runNextEvent()) {
            continue;
        }
    }

    /** Runs the next pending event of a connection, or the next task that was left to a later turn; false if there is none. */
    public boolean runNextEvent() {
        Runnable event = pendingEvents.poll();
        if (event != null) {
            event.run();
        }
        return event != null;
    }

    private MemoryConnection connection(String peer, boolean reopen) {
        MemoryConnection connection = connections.get(peer);
        boolean dialled = peer.startsWith("node") || peer.startsWith("list");
        if (connection == null && dialled) {
            return new MemoryConnection(peer);
        }
        if (connection == null || connection.closed && reopen && !dialled) {
            connection = new MemoryConnection(peer);
            connections.put(peer, connection);
            connection.opened = true;
            connection.handler = peer.startsWith("desk")
                    ? platform.accept(connection)
                    : peer.startsWith("ops") ? control.accept(connection) : gearman.accept(connection);
        }
        return connection;
    }

    /** Connects the scheduler to scripted peers. */
    private final class MemoryNetwork implements Network {
        @Override
        public Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers) {
            return Scenario.this.dial(address, handlers);
        }

        @Override
        public void runNextTurn(Runnable task) {
            pendingEvents.add(task);
        }
    }

    private Connection dial(InetSocketAddress address, Function<Connection, ConnectionHandler> handlerFactory) {
        String peer = address.getPort() < 9000
                ? "list" + (address.getPort() == 8500 ? "" : address.getPort())
                : "node" + (address.getPort() - 9000);
        MemoryConnection connection = new MemoryConnection(peer);
        connection.handler = handlerFactory.apply(connection);
        connection.readLimit = readLimits.getOrDefault(peer, Integer.MAX_VALUE);
        if (!refusedPeers.contains(peer)) {
            connections.put(peer, connection);
        }
        if (refusedPeers.contains(peer)) {
            pendingEvents.add(connection::closeByPeer);
        } else if (connection.readLimit >= 0) {
            pendingEvents.add(() -> {
                connection.opened = true;
                connection.handler.opened();
                connection.flush();
            });
        }
        return connection;
    }

    /** An in-memory connection between the scheduler, which uses it as a {@link Connection}, and a scripted peer. */
    private final class MemoryConnection implements Connection {
        private final String peer;
        private ConnectionHandler handler;
        private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
        private String output = "";
        /** How many more bytes the peer reads; negative if the connection never opens. */
        private int readLimit = Integer.MAX_VALUE;

        private boolean opened;
        private boolean closed;
        private boolean answerStarted;

        MemoryConnection(String peer) {
            this.peer = peer;
        }

        /** Ends the connection from the peer's side. */
        void closeByPeer() {
            closed = true;
            handler.ended();
        }

        /** Sends what a {@code send} step gives, in the format of the peer's kind. */
        void send(String arguments) {
            String raw = arguments;
            if (arguments.startsWith("\"")) {
                raw = unquote(arguments);
            } else if (arguments.startsWith("text:")) {
                raw = arguments.substring(5) + "\n";
            } else if (peer.startsWith("ops")) {
                String[] fields = arguments.split(" ");
                raw = fields[0] + " " + fields[1] + " HTTP/1.1\r\nHost: h\r\n\r\n";
            } else if (peer.startsWith("desk")) {
                String[] fields = (arguments + " x").split(" ");
                raw = fields[0].equals("GET")
                        ? "GET " + fields[1] + " HTTP/1.1\r\nHost: h\r\n\r\n"
                        : fields[0] + " " + fields[1]
                                + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + fields[2] + "\r\nX-Remaining-Ms: " + fields[3]
                                + "\r\nContent-Length: " + fields[4].length() + "\r\n\r\n" + fields[4];
            } else if (peer.startsWith("plug")) {
                String[] fields = arguments.split("\\|", -1);
                Object[] values = new Object[fields.length - 1];
                for (int i = 1; i < fields.length; i++) {
                    values[i - 1] = fields[i].equals("$") ? lastHandle : fields[i];
                }
                deliver(Packet.encode(Packet.REQUEST, Packet.Type.valueOf(fields[0]), values));
                return;
            } else {
                String[] fields = arguments.split(" ");
                String line = arguments.startsWith("{")
                        ? arguments
                        : "{\"id\":\"" + fields[1] + "\",\"state\":\"" + fields[0] + "\",\"result\":\""
                                + (fields.length > 2 ? fields[2] : "") + "\"}";
                boolean last = !peer.startsWith("list") && !fields[0].equals("started");
                raw = (answerStarted ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        + Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n" + (last ? "0\r\n\r\n" : "");
                answerStarted = !last;
            }
            deliver(ByteBuffer.wrap(raw.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** Delivers the bytes one at a time, because no parser may depend on how bytes are split. */
        private void deliver(ByteBuffer... buffers) {
            for (ByteBuffer buffer : buffers) {
                while (buffer != null && buffer.hasRemaining() && !closed) {
                    handler.received(ByteBuffer.wrap(new byte[] {buffer.get()}));
                }
            }
        }

        /** Removes the next message from the scheduler's output and returns it in the form that {@code expect} uses. */
        String takeNext(boolean raw) {
            String text = output;
            if (text.isEmpty()) {
                return closed ? "closed" : "nothing";
            }
            if (raw) {
                output = "";
                return text;
            }
            if (text.charAt(0) == 0) {
                int size = text.charAt(8) << 24 | text.charAt(9) << 16 | text.charAt(10) << 8 | text.charAt(11);
                output = text.substring(12 + size);
                String name = "?";
                for (Packet.Type type : Packet.Type.values()) {
                    name = Packet.encode(0, type)[0].getInt(4) == text.charAt(7) ? type.name() : name;
                }
                String words = text.substring(12, 12 + size).replace('\0', '|');
                if (words.startsWith("H:")) {
                    lastHandle = words.split("\\|")[0];
                }
                return words.isEmpty() ? name : name + "|" + words;
            }
            int headLength = text.indexOf("\r\n\r\n") + 4;
            int lengthStart = text.indexOf("Content-Length: ") + 16;
            int length = lengthStart > 15 && lengthStart < headLength
                    ? Integer.parseInt(text.substring(lengthStart, text.indexOf("\r\n", lengthStart)))
                    : 0;
            output = text.substring(headLength + length);
            String body = text.substring(headLength, headLength + length);
            String[] startLine = text.substring(0, text.indexOf("\r\n")).split(" ");
            String id = text.contains("X-Txn: ") ? text.replaceAll("(?s).*X-Txn: (\\S+).*", "$1") : "";
            String summary =
                    startLine[0].startsWith("HTTP") ? startLine[1] : startLine[0] + " " + startLine[1] + " " + id;
            return (summary + " " + body).strip();
        }

        @Override
        public void write(ByteBuffer... parts) {
            for (ByteBuffer part : parts) {
                unsent.add(part.duplicate());
            }
            flush();
        }

        private void flush() {
            for (ByteBuffer buffer = unsent.peek(); opened && buffer != null; buffer = unsent.peek()) {
                int count = Math.min(readLimit, buffer.remaining());
                byte[] bytes = new byte[count];
                buffer.get(bytes);
                readLimit -= readLimit == Integer.MAX_VALUE ? 0 : count;
                output += new String(bytes, StandardCharsets.ISO_8859_1);
                if (buffer.hasRemaining()) {
                    return;
                }
                unsent.poll();
            }
            if (opened && handler != null && !closed) {
                handler.flushed();
            }
        }

        @Override
        public boolean flushed() {
            return opened && unsent.isEmpty();
        }

        @Override
        public void finish() {
            closed = true;
        }

        @Override
        public void closeNow() {
            closed = true;
        }

        @Override
        public boolean readAvailable() {
            return true;
        }
    }

    private String lastHandle = "";
}
