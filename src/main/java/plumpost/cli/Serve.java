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
import plumpost.config.StartNumbers;
import plumpost.control.ControlOperations;
import plumpost.control.ControlServer;
import plumpost.control.SharedBans;
import plumpost.control.SharedRunClaims;
import plumpost.count.Counters;
import plumpost.dispatch.DispatchCore;
import plumpost.dispatch.RequestLog;
import plumpost.front.Front;
import plumpost.gearman.GearmanFront;
import plumpost.http.AnswerEncoder;
import plumpost.http.AnswerReader;
import plumpost.http.BadMessageException;
import plumpost.log.Logs;
import plumpost.net.ConnectionHandler;
import plumpost.net.Listener;
import plumpost.net.LoopContext;
import plumpost.net.SelectorLoop;
import plumpost.peers.Fleet;
import plumpost.platform.Platform;
import plumpost.platform.WarmUp;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;
import plumpost.time.UnixTime;

/** Runs a scheduler until SIGTERM and shuts it down in order; reloads its configuration on SIGHUP. */
final class Serve {
    /** New connections arrive for up to 0.4 s after SIGTERM, so that the process does not end before this time. */
    private static final double NEW_CONNECTION_GRACE_MS = 700;
    /** Interval between checks for steps of the wall clock. */
    private static final double WALL_CLOCK_CHECK_INTERVAL_MS = 500;
    /** Attempts to read a file at SIGHUP, which may still be being written at the first one. */
    private static final int MAX_RELOAD_ATTEMPTS = 12;
    /** How long the start waits for the fleet's state from the data directory. */
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
    /** Listeners on sockets that the platform shares with the next process; this process stops accepting on them at SIGTERM. */
    private final List<Listener> inheritedListeners = new ArrayList<>(1);

    private final String inheritedFd;
    private final SharedBans sharedBans;
    private boolean serving;
    private int reloadRound;
    /** The last applied file; a later one that lacks any of its keys is rejected. */
    private Json.Fields lastFile;

    private final StartNumbers startNumbers;

    private double stopRequestedAtMs = Double.NaN;

    /** This scheduler's fleet member, or null if it is in no fleet. */
    private final Fleet fleet;

    Serve(Path file, String data) throws IOException {
        this.file = file;
        lastFile = NodeConfig.parse(file);
        config = NodeConfig.from(lastFile, System.getenv());
        startNumbers = new StartNumbers(config.rawSettings());
        log = Logs.sink(
                config.name(),
                config.peers() != null && config.log().format() == null
                        ? "text"
                        : config.log().format());
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
        if (config.log().logsRequests()) {
            core.logRequests(
                    RequestLog.to(this::log, clock, counters, config.log().requestLinesPerSecond()));
        }
        LoopContext context = new LoopContext(loop, clock, unixTime, wheel, counters, this::log);
        if (inheritedFd != null && !inheritedFd.isEmpty()) {
            core.shareRuns(new SharedRunClaims(sharedDirectory(), context));
        }
        platform = new Platform(
                config,
                core,
                context,
                loop::lagMs,
                clientBytes(Runtime.getRuntime().maxMemory()));
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
        // In a fleet the bans are in the replicated log, and the data directory is used by one process only.
        sharedBans = config.ops() == null || config.peers() != null
                ? null
                : new SharedBans(sharedDirectory(), core, context);
        ControlOperations controlOperations = new ControlOperations(
                core, counters, sharedBans, () -> serving && Double.isNaN(stopRequestedAtMs) && platform.mayServe());
        if (config.ops() != null) {
            fronts.add(new ControlServer(
                    config.ops(), maxControlConnections(config.sockets()), context, controlOperations));
        }
        fleet = config.peers() == null
                ? null
                : FleetHost.joinFleet(config, data, core, platform, gearman, controlOperations, context, loop);
    }

    /** Returns the maximum number of operators' connections: a small share of the descriptors, most of which jobs need. */
    static int maxControlConnections(int sockets) {
        return Math.max(16, Math.min(256, sockets / 16));
    }

    /** Returns the directory that the processes of one scheduler share and that an upgrade keeps. */
    private static Path sharedDirectory() {
        String directory = System.getenv("TMPDIR");
        return Path.of(directory == null || directory.isEmpty() ? System.getProperty("java.io.tmpdir") : directory);
    }

    /** Returns the core's limits; by default a fifth of the heap for bodies of open jobs and a tenth for kept outcomes. */
    static DispatchCore.Bounds coreBounds(long heapBytes, GearmanConfig gearman) {
        GearmanConfig.Limits limits = gearman == null ? GearmanConfig.Limits.DEFAULT : gearman.limits();
        return new DispatchCore.Bounds(
                limits.openJobs() > 0 ? limits.openJobs() : (int) Math.min(4096, heapBytes >> 14),
                limits.jobBytes() > 0 ? limits.jobBytes() : heapBytes / 5,
                limits.keptOutcomes() > 0 ? limits.keptOutcomes() : (int) Math.min(16_384, heapBytes >> 12),
                heapBytes / 10,
                limits.packetBytes());
    }

    /** Returns the memory for requests that are being received and answers that are not read: a tenth of the heap. */
    static long clientBytes(long heapBytes) {
        return heapBytes / 10;
    }

    /** Returns the path of the configuration: the option's value, or NODE_CONFIG; throws {@link BadInput} if there is neither. */
    static Path configPath(String option) {
        String path = option == null ? System.getenv("NODE_CONFIG") : option;
        if (path == null) {
            throw new BadInput("no configuration: give --config or set NODE_CONFIG");
        }
        return Path.of(path);
    }

    /**
     * Returns the clients' listening socket that the platform passes to each process of this scheduler as descriptor 0. During
     * an upgrade the old and the new process both accept on it, so that no client's connection is refused.
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
        Signals.handle(Signals.HANGUP, () -> loop.execute(this::onHangup));
        // Installed before the start, so that a signal during the start is not lost.
        Signals.handle(Signals.TERMINATE, this::onTerminate);
        String addresses;
        try {
            addresses = openFronts();
        } catch (IOException | BadInput e) {
            // Nothing needs an orderly shutdown yet, and the fleet engine's threads would keep the process alive.
            System.err.println("plumpost: " + config.name() + " cannot start: " + e.getMessage());
            System.err.flush();
            Runtime.getRuntime().halt(2);
            return 2;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::awaitLoopEnd, "end"));
        if (sharedBans != null) {
            sharedBans.start();
        }
        WarmUp.run(config);
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
            core.finishAudit();
            System.err.print(counters);
            System.err.flush();
        } finally {
            loopEnded.countDown(); // also after an exception: the shutdown hook waits for it
        }
        Runtime.getRuntime().halt(0); // with status 0 instead of the signal's, skipping all hooks
        return 0;
    }

    /** Checks for steps of the wall clock, so that Unix times read after a step are converted correctly. */
    private void watchWallClock() {
        if (unixTime.observe()) {
            counters.count("time.wall_steps");
            log("the wall clock stepped; durations follow the monotonic clock");
        }
        wheel.schedule(clock.nowMs() + WALL_CLOCK_CHECK_INTERVAL_MS, this::watchWallClock);
    }

    private String openFronts() throws IOException {
        for (double deadlineMs = clock.nowMs() + FLEET_START_TIMEOUT_MS;
                fleet != null && !fleet.ready() && clock.nowMs() < deadlineMs; ) {
            loop.turn(20); // the fleet's bans must be known before any request is served
        }
        StringBuilder addresses = new StringBuilder();
        for (Front front : fronts) {
            addresses
                    .append(' ')
                    .append(front.open(
                            (address, handlerFactory, maxConnections, batched, maxUnreadBytes, shedConnection) -> {
                                Listener listener;
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
                                return (batched ? listener.batchWrites() : listener).address();
                            }));
        }
        return addresses.toString();
    }

    /** Runs the start and one request on an ephemeral port, so that the JVM can archive the classes that it loads. */
    int rehearse() throws IOException {
        InetSocketAddress address = loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), platform::accept, 8, platform::shed)
                .address();
        WarmUp.run(config);
        platform.ready();
        AnswerReader answer = new AnswerReader(1024);
        boolean[] finished = new boolean[1];
        loop.dial(address, connection -> new ConnectionHandler() {
            @Override
            public void opened() {
                connection.write(AnswerEncoder.ascii("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
            }

            @Override
            public void received(ByteBuffer in) {
                try {
                    finished[0] = answer.feed(in);
                } catch (BadMessageException e) {
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
                && core.openJobCount() == 0
                && fronts.stream().allMatch(Front::isIdle);
        if (coreIdle && fleet != null) {
            fleet.idle();
        }
        return coreIdle && (fleet == null || fleet.closed());
    }

    /**
     * On SIGHUP: applies the settings that may change while jobs are open. A file that cannot be applied is counted as
     * rejected at once and read again for a while, in case it was being written; a later SIGHUP ends these attempts.
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
            core.retune(startNumbers.apply(newConfig.settings(), newConfig.rawSettings()));
            lastFile = newFile;
            counters.count("config.applied");
            fronts.forEach(front -> front.reload(newConfig));
            log("SIGHUP: the file is applied, classes " + String.join(" ", core.classNames()) + ", attempts "
                    + core.settings().limits().maxAttempts());
        } catch (BadInput | IllegalArgumentException e) {
            if (attemptsLeft == MAX_RELOAD_ATTEMPTS) {
                counters.count("config.rejected");
                log("SIGHUP: the file is rejected, the old configuration stays: " + e.getMessage());
            }
            if (attemptsLeft > 1) {
                wheel.schedule(clock.nowMs() + RELOAD_RETRY_INTERVAL_MS, () -> reload(round, attemptsLeft - 1));
            }
        }
    }

    /** On SIGTERM, on a JVM thread: the grace period starts now, even if the event loop reacts later. */
    private void onTerminate() {
        double signalledAtMs = clock.nowMs();
        loop.execute(() -> stop(signalledAtMs));
    }

    /** Shutdown hook for {@link System#exit}: stops the event loop in order and waits for its end. */
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
            return; // already stopping
        }
        stopRequestedAtMs = signalledAtMs;
        log("stopping, " + core.openJobCount() + " jobs open, " + Math.round(clock.nowMs() - signalledAtMs)
                + " ms after the signal was received");
        // The next process already accepts on the shared socket and takes all new connections.
        inheritedListeners.forEach(Listener::close);
        fronts.forEach(front -> front.stop(signalledAtMs, NEW_CONNECTION_GRACE_MS));
        if (fleet != null) {
            fleet.stop();
        }
    }
}
