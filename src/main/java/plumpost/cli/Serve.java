package plumpost.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import plumpost.config.GearmanConfig;
import plumpost.config.Json;
import plumpost.config.Json.BadInput;
import plumpost.config.NodeConfig;
import plumpost.control.ControlOperations;
import plumpost.control.ControlServer;
import plumpost.control.SharedBans;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.front.Front;
import plumpost.gearman.GearmanFront;
import plumpost.http.AnswerReader;
import plumpost.http.Answers;
import plumpost.http.BadMessage;
import plumpost.log.Logs;
import plumpost.net.ConnectionHandler;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.peers.Fleet;
import plumpost.platform.Platform;
import plumpost.platform.WarmUp;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;
import plumpost.time.UnixTime;

/** Runs one real scheduler until SIGTERM, and ends it in order. SIGHUP has it read its configuration again. */
final class Serve {
    /** New connections keep coming for up to 0.4 s after SIGTERM: no end before that is over. */
    private static final double NEW_CONNECTION_GRACE_MS = 700;
    /** A step of the wall clock is noticed within this. */
    private static final double WALL_CLOCK_CHECK_INTERVAL_MS = 500;
    /** A file that is being written when SIGHUP comes is whole soon after: it is read so often, at such intervals. */
    private static final int MAX_RELOAD_ATTEMPTS = 12;
    /** So long the start waits for what the data directory holds. */
    private static final double FLEET_START_TIMEOUT_MS = 5000;

    private static final double RELOAD_RETRY_INTERVAL_MS = 250;

    private final Path file;
    private final NodeConfig config;
    private final Consumer<String> log;
    private final SystemClock clock = new SystemClock();
    private final UnixTime unixTime = UnixTime.system(clock);
    private final TimerWheel wheel = new TimerWheel(clock.nowMs());
    private final Counters counters = new Counters();
    private final CountDownLatch loopEnded = new CountDownLatch(1);
    private final SelectorLoop loop;
    private final DispatchCore core;
    private final Platform platform;
    private final List<Front> fronts = new ArrayList<>(2);
    /** Listeners that the platform holds and shares with the next process: let go of at SIGTERM, never closed for it. */
    private final List<SelectorLoop.Listener> inheritedListeners = new ArrayList<>(1);

    private final String inheritedFd;
    private final SharedBans sharedBans;
    private boolean serving;
    private int reloadRound;
    /** The file as last taken: a later one that lacks any of its keys is broken. */
    private Json.Fields lastFile;

    private double stopRequestedAtMs = Double.NaN;

    /** Its part in a fleet, or null while the file has no peers. */
    private final Fleet fleet;

    Serve(Path file, String data) throws IOException {
        this.file = file;
        lastFile = NodeConfig.parse(file);
        config = NodeConfig.from(lastFile, System.getenv());
        log = Logs.sink(
                config.name(), config.peers() != null && config.logFormat() == null ? "text" : config.logFormat());
        inheritedFd = System.getenv("NODE_FD");
        lastFile.ignored().forEach(this::log);
        loop = new SelectorLoop(clock, wheel, counters, this::log);
        core = new DispatchCore(
                config.settings(),
                config.seed(),
                clock,
                wheel,
                counters,
                coreBounds(Runtime.getRuntime().maxMemory(), config.gearman()),
                this::log);
        LoopContext context = new LoopContext(loop, clock, unixTime, wheel, counters, this::log);
        platform = new Platform(config, core, context, loop::lagMs);
        fronts.add(platform);
        GearmanFront gearman = config.gearman() == null
                ? null
                : new GearmanFront(
                        config,
                        Main.version(),
                        core,
                        context,
                        () -> new Thread(() -> System.exit(0), "shutdown").start());
        if (gearman != null) {
            fronts.add(gearman);
        }
        // In a fleet the log keeps the bans, and the data directory belongs to one process.
        sharedBans = config.ops() == null || config.peers() != null
                ? null
                : new SharedBans(sharedDirectory(), core, context);
        ControlOperations controlOperations = new ControlOperations(
                core, counters, sharedBans, () -> serving && Double.isNaN(stopRequestedAtMs) && platform.listed());
        if (config.ops() != null) {
            fronts.add(new ControlServer(
                    config.ops(), maxControlConnections(config.sockets()), context, controlOperations));
        }
        fleet = config.peers() == null
                ? null
                : FleetHost.joinFleet(config, data, core, platform, gearman, controlOperations, context, loop);
    }

    /** Callers of the operators' listener at once: a few dozen, out of the descriptors that jobs need. */
    static int maxControlConnections(int sockets) {
        return Math.max(16, Math.min(256, sockets / 16));
    }

    /** The directory that the processes of one scheduler share, and that is kept over an upgrade. */
    private static Path sharedDirectory() {
        String directory = System.getenv("TMPDIR");
        return Path.of(directory == null || directory.isEmpty() ? System.getProperty("java.io.tmpdir") : directory);
    }

    /** What the core may hold: a fifth of the heap for bodies of open jobs, a tenth for kept outcomes. */
    static DispatchCore.Bounds coreBounds(long heapBytes, GearmanConfig gearman) {
        GearmanConfig.Limits limits = gearman == null ? GearmanConfig.Limits.USUAL : gearman.limits();
        return new DispatchCore.Bounds(
                limits.openJobs() > 0 ? limits.openJobs() : (int) Math.min(4096, heapBytes >> 14),
                limits.jobBytes() > 0 ? limits.jobBytes() : heapBytes / 5,
                limits.keptOutcomes() > 0 ? limits.keptOutcomes() : (int) Math.min(16_384, heapBytes >> 12),
                heapBytes / 10,
                limits.packetBytes());
    }

    /** The configuration's file: the one that is given, or the one in NODE_CONFIG. */
    static Path configPath(String option) {
        String path = option == null ? System.getenv("NODE_CONFIG") : option;
        if (path == null) {
            throw new BadInput("no configuration: give --config or set NODE_CONFIG");
        }
        return Path.of(path);
    }

    /**
     * The clients' listening socket that the platform holds for all processes of this scheduler, as descriptor 0: the
     * old process and the new one accept on it side by side, so that no client finds the address closed meanwhile.
     */
    static ServerSocketChannel inheritedSocket(String descriptor) throws IOException {
        if (!descriptor.strip().equals("0")) {
            throw new BadInput("NODE_FD is " + descriptor + ": only descriptor 0 can be taken over");
        }
        Channel channel = System.inheritedChannel();
        if (!(channel instanceof ServerSocketChannel socket)) {
            throw new BadInput(
                    "NODE_FD is 0, but descriptor 0 is " + (channel == null ? "no socket" : "no listening socket"));
        }
        return socket;
    }

    private void log(String line) {
        log.accept(line);
    }

    int run() throws IOException {
        Signals.handle(Signals.HANGUP, () -> loop.onLoop(this::onHangup));
        Signals.handle(Signals.TERMINATE, this::onTerminate); // from here on, so that none of it is lost in the start
        String addresses;
        try {
            addresses = openFronts();
        } catch (IOException | BadInput e) {
            // Nothing runs yet that could end in order, and a fleet's engine has threads that would keep the process.
            System.err.println("plumpost: " + config.name() + " cannot start: " + e.getMessage());
            System.err.flush();
            Runtime.getRuntime().halt(2);
            return 2;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::awaitLoopEnd, "end"));
        if (sharedBans != null) {
            sharedBans.start();
        }
        WarmUp.play(config);
        if (fleet != null) {
            fleet.begin();
        }
        fronts.forEach(Front::ready);
        serving = true;
        log("ready," + addresses);
        watchWallClock();
        core.startAudit();
        try {
            loop.run(this::isDone);
            core.auditEnd();
            System.err.print(counters);
            System.err.flush();
        } finally {
            loopEnded.countDown(); // whatever ended the loop, a hook that waits for it must not keep the process
        }
        Runtime.getRuntime().halt(0); // with 0 in place of the signal's code, past all hooks
        return 0;
    }

    /** Looks for steps of the wall clock, so that what is read after one is understood. */
    private void watchWallClock() {
        if (unixTime.observe()) {
            counters.count("time.wall_steps");
            log("the wall clock stepped; spans run on by the monotonic clock");
        }
        wheel.at(clock.nowMs() + WALL_CLOCK_CHECK_INTERVAL_MS, this::watchWallClock);
    }

    private String openFronts() throws IOException {
        for (double deadlineMs = clock.nowMs() + FLEET_START_TIMEOUT_MS;
                fleet != null && !fleet.ready() && clock.nowMs() < deadlineMs; ) {
            loop.turn(20); // the bans that the fleet has agreed on hold before anything is served
        }
        StringBuilder addresses = new StringBuilder();
        for (Front front : fronts) {
            addresses
                    .append(' ')
                    .append(front.open(
                            (address, handlerFactory, maxConnections, batched, maxUnreadBytes, shedConnection) -> {
                                SelectorLoop.Listener listener;
                                if (address.equals(config.listen()) && inheritedFd != null && !inheritedFd.isEmpty()) {
                                    listener = loop.adopt(
                                            inheritedSocket(inheritedFd),
                                            handlerFactory,
                                            maxConnections,
                                            maxUnreadBytes,
                                            shedConnection);
                                    inheritedListeners.add(listener);
                                } else {
                                    listener = loop.listen(
                                            address, handlerFactory, maxConnections, maxUnreadBytes, shedConnection);
                                }
                                return (batched ? listener.batched() : listener).address();
                            }));
        }
        return addresses.toString();
    }

    /** Goes through the start and one request on a port that the system gives, so that the JVM can archive what it loads. */
    int rehearse() throws IOException {
        InetSocketAddress address = loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), platform::accept, 8, platform::shed)
                .address();
        WarmUp.play(config);
        platform.ready();
        AnswerReader answer = new AnswerReader(1024);
        boolean[] finished = new boolean[1];
        loop.dial(address, connection -> new ConnectionHandler() {
            @Override
            public void opened() {
                connection.write(Answers.ascii("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
            }

            @Override
            public void bytes(ByteBuffer in) {
                try {
                    finished[0] = answer.feed(in);
                } catch (BadMessage e) {
                    throw new IllegalStateException(e);
                }
            }

            @Override
            public void ended() {
                finished[0] = true;
            }
        });
        loop.run(() -> finished[0]);
        return answer.hasHead() && answer.status() == 200 ? 0 : 1;
    }

    private boolean isDone() {
        boolean coreIdle = !Double.isNaN(stopRequestedAtMs)
                && clock.nowMs() - stopRequestedAtMs >= NEW_CONNECTION_GRACE_MS
                && core.open() == 0
                && fronts.stream().allMatch(Front::quiet);
        if (coreIdle && fleet != null) {
            fleet.idle();
        }
        return coreIdle && (fleet == null || fleet.quiet());
    }

    /**
     * On SIGHUP: takes over what may change while jobs are open. A file that cannot be taken is counted as turned down
     * at once and read again for a while, in case it was being written; a later SIGHUP ends those readings.
     */
    private void onHangup() {
        int round = ++reloadRound;
        reload(round, MAX_RELOAD_ATTEMPTS);
    }

    private void reload(int round, int attemptsLeft) {
        if (round != reloadRound) {
            return;
        }
        try {
            Json.Fields newFile = NodeConfig.parse(file);
            NodeConfig newConfig = NodeConfig.reload(lastFile, newFile, System.getenv());
            core.retune(newConfig.settings());
            lastFile = newFile;
            counters.count("config.applied");
            fronts.forEach(front -> front.reload(newConfig));
            log("SIGHUP: the file is taken, classes " + String.join(" ", core.classNames()) + ", attempts "
                    + core.settings().limits().maxAttempts());
        } catch (BadInput | IllegalArgumentException e) {
            if (attemptsLeft == MAX_RELOAD_ATTEMPTS) {
                counters.count("config.rejected");
                log("SIGHUP: the file is turned down, the old configuration stays: " + e.getMessage());
            }
            if (attemptsLeft > 1) {
                wheel.at(clock.nowMs() + RELOAD_RETRY_INTERVAL_MS, () -> reload(round, attemptsLeft - 1));
            }
        }
    }

    /** On SIGTERM, on a thread of the JVM's: the time counts from now, whenever the loop comes to it. */
    private void onTerminate() {
        double signalledAtMs = clock.nowMs();
        loop.onLoop(() -> stop(signalledAtMs));
    }

    /** At {@link System#exit}: lets the loop finish what it holds; the process ends from there. */
    private void awaitLoopEnd() {
        onTerminate();
        try {
            loopEnded.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop(double signalledAtMs) {
        if (!Double.isNaN(stopRequestedAtMs)) {
            return; // told twice
        }
        stopRequestedAtMs = signalledAtMs;
        log("stopping, " + core.open() + " jobs open, " + Math.round(clock.nowMs() - signalledAtMs)
                + " ms after the signal was heard");
        // The next process accepts on the shared socket already: what comes from now on is its to take.
        inheritedListeners.forEach(SelectorLoop.Listener::close);
        fronts.forEach(front -> front.stop(signalledAtMs, NEW_CONNECTION_GRACE_MS));
        if (fleet != null) {
            fleet.stop();
        }
    }
}
