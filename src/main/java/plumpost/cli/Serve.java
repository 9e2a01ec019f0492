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
    private static final double NEWCOMERS_MS = 700;
    /** A step of the wall clock is noticed within this. */
    private static final double WALL_CLOCK_LOOK_MS = 500;
    /** A file that is being written when SIGHUP comes is whole soon after: it is read so often, at such intervals. */
    private static final int READINGS = 12;
    /** So long the start waits for what the data directory holds. */
    private static final double FLEET_MS = 5000;

    private static final double REREAD_MS = 250;

    private final Path file;
    private final NodeConfig config;
    private final Consumer<String> log;
    private final SystemClock clock = new SystemClock();
    private final UnixTime unixTime = UnixTime.system(clock);
    private final TimerWheel wheel = new TimerWheel(clock.nowMs());
    private final Counters counters = new Counters();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final SelectorLoop loop;
    private final DispatchCore room;
    private final Platform platform;
    private final List<Front> fronts = new ArrayList<>(2);
    /** Listeners that the platform holds and shares with the next process: let go of at SIGTERM, never closed for it. */
    private final List<SelectorLoop.Listener> inheritedDoors = new ArrayList<>(1);

    private final String inheritedFd;
    private final SharedBans sharedBans;
    private boolean serving;
    private int hangups;
    /** The file as last taken: a later one that lacks any of its keys is broken. */
    private Json.Fields lastFile;

    private double stopAt = Double.NaN;

    /** Its part in a fleet, or null while the file has no peers. */
    private final Fleet fleet;

    Serve(Path file, String data) throws IOException {
        this.file = file;
        lastFile = NodeConfig.parse(file);
        config = NodeConfig.from(lastFile, System.getenv());
        log = Logs.sink(
                config.name(), config.peers() != null && config.logFormat() == null ? "text" : config.logFormat());
        inheritedFd = System.getenv("NODE_FD");
        lastFile.passedOver().forEach(this::log);
        loop = new SelectorLoop(clock, wheel, counters, this::log);
        room = new DispatchCore(
                config.settings(),
                config.seed(),
                clock,
                wheel,
                counters,
                bounds(Runtime.getRuntime().maxMemory(), config.gearman()),
                this::log);
        LoopContext kit = new LoopContext(loop, clock, unixTime, wheel, counters, this::log);
        platform = new Platform(config, room, kit, loop::lagMs);
        fronts.add(platform);
        GearmanFront gearman = config.gearman() == null
                ? null
                : new GearmanFront(
                        config, Main.version(), room, kit, () -> new Thread(() -> System.exit(0), "shutdown").start());
        if (gearman != null) {
            fronts.add(gearman);
        }
        // In a fleet the log keeps the bans, and the data directory belongs to one process.
        sharedBans =
                config.ops() == null || config.peers() != null ? null : new SharedBans(sharedDirectory(), room, kit);
        ControlOperations console = new ControlOperations(
                room, counters, sharedBans, () -> serving && Double.isNaN(stopAt) && platform.listed());
        if (config.ops() != null) {
            fronts.add(new ControlServer(config.ops(), controlPlaces(config.sockets()), kit, console));
        }
        fleet = config.peers() == null
                ? null
                : FleetHost.begin(config, data, room, platform, gearman, console, kit, loop);
    }

    /** Callers of the operators' listener at once: a few dozen, out of the descriptors that jobs need. */
    static int controlPlaces(int sockets) {
        return Math.max(16, Math.min(256, sockets / 16));
    }

    /** The directory that the processes of one scheduler share, and that is kept over an upgrade. */
    private static Path sharedDirectory() {
        String dir = System.getenv("TMPDIR");
        return Path.of(dir == null || dir.isEmpty() ? System.getProperty("java.io.tmpdir") : dir);
    }

    /** What the core may hold: a fifth of the heap for bodies of open jobs, a tenth for kept outcomes. */
    static DispatchCore.Bounds bounds(long heap, GearmanConfig gearman) {
        GearmanConfig.Limits said = gearman == null ? GearmanConfig.Limits.USUAL : gearman.limits();
        return new DispatchCore.Bounds(
                said.openJobs() > 0 ? said.openJobs() : (int) Math.min(4096, heap >> 14),
                said.jobBytes() > 0 ? said.jobBytes() : heap / 5,
                said.keptOutcomes() > 0 ? said.keptOutcomes() : (int) Math.min(16_384, heap >> 12),
                heap / 10,
                said.packetBytes());
    }

    /** The configuration's file: the one that is given, or the one in NODE_CONFIG. */
    static Path file(String given) {
        String path = given == null ? System.getenv("NODE_CONFIG") : given;
        if (path == null) {
            throw new BadInput("no configuration: give --config or set NODE_CONFIG");
        }
        return Path.of(path);
    }

    /**
     * The clients' listening socket that the platform holds for all processes of this scheduler, as descriptor 0: the
     * old process and the new one accept on it side by side, so that no client finds the address closed meanwhile.
     */
    static ServerSocketChannel inherited(String fd) throws IOException {
        if (!fd.strip().equals("0")) {
            throw new BadInput("NODE_FD is " + fd + ": only descriptor 0 can be taken over");
        }
        Channel given = System.inheritedChannel();
        if (!(given instanceof ServerSocketChannel listening)) {
            throw new BadInput(
                    "NODE_FD is 0, but descriptor 0 is " + (given == null ? "no socket" : "no listening socket"));
        }
        return listening;
    }

    private void log(String words) {
        log.accept(words);
    }

    int run() throws IOException {
        Signals.on(Signals.HANGUP, () -> loop.onLoop(this::hangup));
        Signals.on(Signals.TERMINATE, this::terminate); // from here on, so that none of it is lost in the start
        String where;
        try {
            where = open();
        } catch (IOException | BadInput e) {
            // Nothing runs yet that could end in order, and a fleet's engine has threads that would keep the process.
            System.err.println("plumpost: " + config.name() + " cannot start: " + e.getMessage());
            System.err.flush();
            Runtime.getRuntime().halt(2);
            return 2;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAtExit, "end"));
        if (sharedBans != null) {
            sharedBans.begin();
        }
        WarmUp.play(config);
        if (fleet != null) {
            fleet.begin();
        }
        fronts.forEach(Front::ready);
        serving = true;
        log("ready," + where);
        watchWallClock();
        room.startAudit();
        try {
            loop.run(this::done);
            room.auditEnd();
            System.err.print(counters);
            System.err.flush();
        } finally {
            ended.countDown(); // whatever ended the loop, a hook that waits for it must not keep the process
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
        wheel.at(clock.nowMs() + WALL_CLOCK_LOOK_MS, this::watchWallClock);
    }

    private String open() throws IOException {
        for (double until = clock.nowMs() + FLEET_MS; fleet != null && !fleet.ready() && clock.nowMs() < until; ) {
            loop.turn(20); // the bans that the fleet has agreed on hold before anything is served
        }
        StringBuilder where = new StringBuilder();
        for (Front f : fronts) {
            where.append(' ').append(f.open((at, users, most, batched, unread, shed) -> {
                SelectorLoop.Listener door;
                if (at.equals(config.listen()) && inheritedFd != null && !inheritedFd.isEmpty()) {
                    door = loop.adopt(inherited(inheritedFd), users, most, unread, shed);
                    inheritedDoors.add(door);
                } else {
                    door = loop.listen(at, users, most, unread, shed);
                }
                return (batched ? door.batched() : door).address();
            }));
        }
        return where.toString();
    }

    /** Goes through the start and one request on a port that the system gives, so that the JVM can archive what it loads. */
    int rehearse() throws IOException {
        InetSocketAddress front = loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), platform::accept, 8, platform::shed)
                .address();
        WarmUp.play(config);
        platform.ready();
        AnswerReader answer = new AnswerReader(1024);
        boolean[] over = new boolean[1];
        loop.dial(front, wire -> new ConnectionHandler() {
            @Override
            public void opened() {
                wire.write(Answers.ascii("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
            }

            @Override
            public void bytes(ByteBuffer in) {
                try {
                    over[0] = answer.feed(in);
                } catch (BadMessage e) {
                    throw new IllegalStateException(e);
                }
            }

            @Override
            public void ended() {
                over[0] = true;
            }
        });
        loop.run(() -> over[0]);
        return answer.hasHead() && answer.status() == 200 ? 0 : 1;
    }

    private boolean done() {
        boolean idle = !Double.isNaN(stopAt)
                && clock.nowMs() - stopAt >= NEWCOMERS_MS
                && room.open() == 0
                && fronts.stream().allMatch(Front::quiet);
        if (idle && fleet != null) {
            fleet.idle();
        }
        return idle && (fleet == null || fleet.quiet());
    }

    /**
     * On SIGHUP: takes over what may change while jobs are open. A file that cannot be taken is counted as turned down
     * at once and read again for a while, in case it was being written; a later SIGHUP ends those readings.
     */
    private void hangup() {
        int round = ++hangups;
        reload(round, READINGS);
    }

    private void reload(int round, int readings) {
        if (round != hangups) {
            return;
        }
        try {
            Json.Fields whole = NodeConfig.parse(file);
            NodeConfig now = NodeConfig.again(lastFile, whole, System.getenv());
            room.retune(now.settings());
            lastFile = whole;
            counters.count("config.applied");
            fronts.forEach(f -> f.reload(now));
            log("SIGHUP: the file is taken, classes " + String.join(" ", room.classNames()) + ", attempts "
                    + room.settings().limits().maxAttempts());
        } catch (BadInput | IllegalArgumentException e) {
            if (readings == READINGS) {
                counters.count("config.rejected");
                log("SIGHUP: the file is turned down, the old configuration stays: " + e.getMessage());
            }
            if (readings > 1) {
                wheel.at(clock.nowMs() + REREAD_MS, () -> reload(round, readings - 1));
            }
        }
    }

    /** On SIGTERM, on a thread of the JVM's: the time counts from now, whenever the loop comes to it. */
    private void terminate() {
        double heardAt = clock.nowMs();
        loop.onLoop(() -> stop(heardAt));
    }

    /** At {@link System#exit}: lets the loop finish what it holds; the process ends from there. */
    private void endAtExit() {
        terminate();
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop(double heardAt) {
        if (!Double.isNaN(stopAt)) {
            return; // told twice
        }
        stopAt = heardAt;
        log("stopping, " + room.open() + " jobs open, " + Math.round(clock.nowMs() - heardAt)
                + " ms after the signal was heard");
        // The next process accepts on the shared socket already: what comes from now on is its to take.
        inheritedDoors.forEach(SelectorLoop.Listener::close);
        fronts.forEach(f -> f.stop(heardAt, NEWCOMERS_MS));
        if (fleet != null) {
            fleet.stop();
        }
    }
}
