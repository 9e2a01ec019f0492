package plumpost.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import plumpost.lab.LoopThread;
import plumpost.lab.faults.FaultLibrary;
import plumpost.lab.soak.SoakWorkers.Worker;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/**
 * A randomized fault soak: real scheduler processes between emulated clients, workers and discovery, faults of many kinds that
 * overlap in time, and the users' rules as the oracle. One seed gives one schedule of faults; what crosses is up to the machine.
 */
public final class SoakRun implements SchedulerSlot.Events, AutoCloseable {
    private static final double HOUR_MS = 3_600_000;
    /** The terms' hold-up. */
    private static final long HOLD_UP_MS = 150;

    private static final double JUDGE_MS = 200;
    private static final long SETTLE_MS = 9_000;
    private static final int FAULT_THREADS = 16;
    /** Violations of one rule that are told in full. */
    private static final int MOST_TOLD = 5;

    private static final double DRAIN_MS = 4_000;
    private static final double LONGEST_FAULT_MS = 6_000;

    /** One fault of the schedule: all that is random of it. */
    private record Fault(long atMs, FaultKind kind, int target, double size, double length, boolean direction) {}

    private final SoakPlan plan;
    private final PrintStream out;
    private final LoopThread player = new LoopThread("soak player");
    private final Oracle oracle = new Oracle(player::recentLagMs);
    private final SoakDiscovery discovery;
    private final SoakWorkers workers;
    private final SoakClients clients;
    private final List<SchedulerSlot> slots = new ArrayList<>();
    private final ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
    private final Path folder = Files.createTempDirectory("plumpost-soak");
    /** The faults in the order in which they began, with the player's time. */
    private final List<String> played = new CopyOnWriteArrayList<>();

    /** A soak by a plan; what happens is told on {@code out}. */
    public SoakRun(SoakPlan plan, PrintStream out) throws IOException {
        this.plan = plan;
        this.out = out;
        SplittableRandom random = new SplittableRandom(plan.seed());
        SelectorLoop loop = player.loop();
        TimerWheel wheel = player.wheel();
        SystemClock clock = player.clock();
        discovery = new SoakDiscovery(loop, wheel, clock, oracle);
        workers = new SoakWorkers(loop, wheel, clock, oracle, discovery, random.split());
        clients = new SoakClients(loop, wheel, clock, oracle, random.split(), plan.requestsPerSecond());
        for (int i = 0; i < plan.workers(); i++) {
            discovery.add(workers.start(0));
        }
        judge();
    }

    private void judge() {
        player.wheel().at(nowMs() + JUDGE_MS, () -> {
            judge();
            oracle.judge(nowMs());
        });
    }

    /** Plays the whole soak; the violations by rule. */
    public Map<Oracle.Rule, List<String>> run() throws IOException, InterruptedException {
        player.start();
        for (int i = 0; i < plan.schedulers(); i++) {
            int index = i;
            String address = "127.0.0.1:" + player.on(() -> address(index));
            slots.add(new SchedulerSlot(i, plan, address, folder.resolve("s" + i), this));
        }
        for (SchedulerSlot slot : slots) {
            slot.start();
        }
        player.run(() -> slots.forEach(slot -> clients.startFor(slot.life().scheduler)));
        for (Fault fault : schedule()) {
            faults.schedule(() -> begin(fault), fault.atMs, TimeUnit.MILLISECONDS);
        }
        Thread.sleep(plan.seconds() * 1_000L);
        player.run(clients::stop);
        Thread.sleep(SETTLE_MS);
        faults.shutdown();
        faults.awaitTermination(30, TimeUnit.SECONDS);
        player.run(() -> {
            oracle.judge(nowMs());
            oracle.judgeAll();
        });
        tell();
        return oracle.violations();
    }

    private int address(int index) {
        try {
            return discovery.addressFor(index).getPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void tell() {
        long injected =
                slots.stream().mapToLong(slot -> slot.faults().injected()).sum();
        long heldUp = slots.stream().mapToLong(slot -> slot.faults().heldUp()).sum();
        out.printf(
                "seed %d: %s, calls failed %d, held up %d times, player late by up to %.0f ms%n",
                plan.seed(), oracle.counts(), injected, heldUp, player.worstLagMs());
        oracle.violations().forEach((rule, details) -> {
            out.println("  " + rule + ": " + details.size());
            details.stream().limit(MOST_TOLD).forEach(detail -> out.println("    " + detail));
        });
        if (!oracle.violations().isEmpty()) {
            out.println("  faults as they began:");
            played.forEach(fault -> out.println("    " + fault));
        }
    }

    // ---- faults ----

    private List<Fault> schedule() {
        SplittableRandom random = new SplittableRandom(plan.seed() * 31 + 7);
        List<Fault> all = new ArrayList<>();
        double lastMs = plan.seconds() * 1_000.0 - 1_000;
        for (double at = 500; at < lastMs; at += -Math.log(1 - random.nextDouble()) * 1_000 / plan.faultsPerSecond()) {
            all.add(new Fault(
                    (long) at,
                    FaultKind.at(random.nextDouble(), plan.kinds()),
                    random.nextInt(plan.schedulers()),
                    random.nextDouble(),
                    500 + random.nextDouble() * (LONGEST_FAULT_MS - 500),
                    random.nextBoolean()));
        }
        return all;
    }

    private void begin(Fault fault) {
        played.add(Math.round(player.clock().nowMs()) + " " + fault);
        try {
            play(fault);
        } catch (IOException e) {
            violated(Oracle.Rule.CRASH, "while playing " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            out.println("fault " + fault + " could not be played: " + e);
        }
    }

    private void play(Fault fault) throws IOException, InterruptedException {
        SchedulerSlot slot = slots.get(fault.target);
        FaultLibrary system = slot.faults();
        long pause = (long) (100 + fault.size * 900);
        switch (fault.kind) {
            case RESTART -> slot.restart(pause);
            case KILL -> slot.kill(pause);
            case SUSPENSIONS -> slot.suspendAgainAndAgain(HOLD_UP_MS, pause / 2, (long) fault.length);
            case HOLD_UPS -> slot.holdUp(HOLD_UP_MS, 100 + fault.size * 300, (long) fault.length);
            case WALL_CLOCK_STEP -> {
                double step = fault.size < 0.5 ? HOUR_MS : fault.size * 8_000;
                system.stepWallClock(fault.direction ? step : -step);
            }
            case FAILING_CALLS -> {
                system.failCalls(0.05 + fault.size * 0.25);
                Thread.sleep((long) fault.length);
                system.failCalls(0);
            }
            case BREAKING_CONNECTIONS -> {
                slot.breakConnections(0.002 + fault.size * 0.01);
                Thread.sleep((long) fault.length);
                slot.breakConnections(0);
            }
            case FAILING_DISK -> {
                FaultLibrary.DiskError[] errors = FaultLibrary.DiskError.values();
                system.failDisk(errors[1 + (int) (fault.size * (errors.length - 1))], fault.direction ? 1 : 0.5);
                Thread.sleep((long) fault.length);
                system.failDisk(FaultLibrary.DiskError.NONE, 0);
            }
            case RELOADS -> slot.reload(fault.size);
            case OPERATOR_CALLS -> operatorCalls(slot, fault);
            case DISCOVERY -> change(() -> disturbDiscovery(fault));
            default -> change(() -> disturbWorkers(fault));
        }
    }

    private void operatorCalls(SchedulerSlot slot, Fault fault) throws InterruptedException {
        String worker = player.on(() -> {
            List<Worker> up = workers.up();
            return up.get((int) (fault.size * up.size())).name();
        });
        int scheduler = slot.life().scheduler;
        if (slot.operator(worker, true)) {
            change(() -> discovery.operator(scheduler, worker, true));
        }
        Thread.sleep((long) fault.length);
        change(() -> discovery.operator(scheduler, worker, false)); // from here on either is right
        for (int tries = 0; tries < 20 && !slot.operator(worker, false); tries++) {
            Thread.sleep(500);
        }
    }

    private void disturbDiscovery(Fault fault) {
        switch ((int) (fault.size * 4)) {
            case 0 -> discovery.away(fault.length);
            case 1 -> discovery.mute(fault.length);
            case 2 -> discovery.slow(fault.length);
            default -> discovery.silence();
        }
    }

    private void disturbWorkers(Fault fault) {
        List<Worker> up = new ArrayList<>(workers.up());
        int count = Math.max(1, (int) (up.size() * (fault.size * 0.4)));
        int first = (int) (fault.size * up.size());
        for (int i = 0; i < count; i++) {
            Worker worker = up.get((first + i) % up.size());
            switch (fault.kind) {
                case HANGING_WORKERS -> worker.hang(fault.length);
                case RESETTING_WORKERS -> {
                    worker.reset(fault.length);
                    worker.closeIdle();
                }
                case DRAINS -> {
                    worker.drain(DRAIN_MS);
                    replace();
                }
                default -> {
                    if (i == 0) {
                        worker.crash(1_000 + fault.length / 4);
                        replace();
                    }
                }
            }
        }
    }

    private void replace() {
        try {
            discovery.add(workers.start((long) player.clock().nowMs()));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- the player's thread ----

    @Override
    public String knownWorkers() throws InterruptedException {
        return player.on(discovery::known);
    }

    @Override
    public void up(SchedulerLife life) throws InterruptedException {
        change(() -> clients.up(life));
    }

    @Override
    public void change(Runnable what) throws InterruptedException {
        player.run(what);
    }

    @Override
    public void violated(Oracle.Rule rule, String detail) {
        player.later(() -> oracle.violated(rule, detail));
    }

    @Override
    public double nowMs() {
        return player.clock().nowMs();
    }

    @Override
    public void close() throws IOException {
        faults.shutdownNow();
        for (SchedulerSlot slot : slots) {
            slot.close();
        }
        player.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
