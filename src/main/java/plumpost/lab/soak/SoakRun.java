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
 * A randomized fault soak: real scheduler processes with emulated clients, workers and discovery, overlapping faults of many
 * kinds, and an oracle that checks the users' rules. A seed fixes the schedule of faults, but not how they interleave with the
 * requests, which depends on the machine.
 */
public final class SoakRun implements SchedulerSlot.Events, AutoCloseable {
    private static final double HOUR_MS = 3_600_000;
    /** The longest hold-up of a process that the terms allow. */
    private static final long HOLD_UP_MS = 150;

    private static final double JUDGE_INTERVAL_MS = 200;
    private static final long SETTLE_MS = 9_000;
    private static final int FAULT_THREADS = 16;
    /** Violations of one rule that are printed in full. */
    private static final int MAX_REPORTED_PER_RULE = 5;

    private static final double DRAIN_MS = 4_000;
    private static final double MAX_FAULT_MS = 6_000;

    /** One fault of the schedule with all its random parameters. */
    private record Fault(long atMs, FaultKind kind, int target, double size, double length, boolean direction) {}

    private final SoakPlan plan;
    private final PrintStream out;
    private final LoopThread labLoop = new LoopThread("soak loop");
    private final Oracle oracle = new Oracle(labLoop::recentLagMs);
    private final SoakDiscovery discovery;
    private final SoakWorkers workers;
    private final SoakClients clients;
    private final HostileClients hostileClients;
    private final BadClients badClients;
    private final GearmanPeers gearmanPeers;
    private final List<SchedulerSlot> slots = new ArrayList<>();
    private final ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
    private final Path folder = Files.createTempDirectory("plumpost-soak");
    /** The faults in the order in which they began, each with the time of the laboratory's clock. */
    private final List<String> startedFaults = new CopyOnWriteArrayList<>();

    /** Creates a soak for a plan; the report is printed on {@code out}. */
    public SoakRun(SoakPlan plan, PrintStream out) throws IOException {
        this.plan = plan;
        this.out = out;
        SplittableRandom random = new SplittableRandom(plan.seed());
        SelectorLoop loop = labLoop.loop();
        TimerWheel wheel = labLoop.wheel();
        SystemClock clock = labLoop.clock();
        discovery = new SoakDiscovery(loop, wheel, clock, oracle);
        workers = new SoakWorkers(loop, wheel, clock, oracle, discovery, random.split());
        clients = new SoakClients(loop, wheel, clock, oracle, random.split(), plan.requestsPerSecond());
        hostileClients = new HostileClients(loop, wheel, clock, oracle, random.split());
        badClients = new BadClients(loop, wheel, clock, oracle, random.split());
        gearmanPeers = new GearmanPeers(loop, wheel, clock, oracle, random.split());
        for (int i = 0; i < plan.workers(); i++) {
            discovery.add(workers.start(0));
        }
        judgePeriodically();
    }

    private void judgePeriodically() {
        labLoop.wheel().schedule(nowMs() + JUDGE_INTERVAL_MS, () -> {
            judgePeriodically();
            oracle.judge(nowMs());
        });
    }

    /** Runs the whole soak and returns the violations by rule. */
    public Map<Oracle.Rule, List<String>> run() throws IOException, InterruptedException {
        labLoop.start();
        for (int i = 0; i < plan.schedulers(); i++) {
            int index = i;
            String address = "127.0.0.1:" + labLoop.callOnLoop(() -> discoveryPort(index));
            slots.add(new SchedulerSlot(i, plan, address, folder.resolve("s" + i), this));
        }
        for (SchedulerSlot slot : slots) {
            slot.start();
        }
        labLoop.run(() -> slots.forEach(slot -> clients.startFor(slot.currentRun().scheduler)));
        for (Fault fault : schedule()) {
            faults.schedule(() -> begin(fault), fault.atMs, TimeUnit.MILLISECONDS);
        }
        Thread.sleep(plan.seconds() * 1_000L);
        labLoop.run(() -> {
            clients.stop();
            gearmanPeers.stop();
        });
        Thread.sleep(SETTLE_MS);
        faults.shutdown();
        faults.awaitTermination(30, TimeUnit.SECONDS);
        labLoop.run(() -> {
            oracle.judge(nowMs());
            oracle.judgeAll();
            gearmanPeers.judgeAll();
        });
        for (SchedulerSlot slot : slots) {
            slot.checkMemory();
        }
        printReport();
        return oracle.violations();
    }

    private int discoveryPort(int index) {
        try {
            return discovery.addressFor(index).getPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void printReport() {
        long injected = slots.stream()
                .mapToLong(slot -> slot.faults().injectedFailures())
                .sum();
        long heldUp = slots.stream().mapToLong(slot -> slot.faults().holdUps()).sum();
        out.printf(
                "seed %d: %s, calls failed %d, held up %d times, player late by up to %.0f ms%n",
                plan.seed(), oracle.counts(), injected, heldUp, labLoop.worstLagMs());
        oracle.violations().forEach((rule, details) -> {
            out.println("  " + rule + ": " + details.size());
            details.stream().limit(MAX_REPORTED_PER_RULE).forEach(detail -> out.println("    " + detail));
        });
        if (!oracle.violations().isEmpty()) {
            out.println("  faults as they began:");
            startedFaults.forEach(fault -> out.println("    " + fault));
        }
    }

    // ---- faults ----

    private List<Fault> schedule() {
        SplittableRandom random = new SplittableRandom(plan.seed() * 31 + 7);
        List<Fault> schedule = new ArrayList<>();
        double lastMs = plan.seconds() * 1_000.0 - 1_000;
        for (double at = 500; at < lastMs; at += -Math.log(1 - random.nextDouble()) * 1_000 / plan.faultsPerSecond()) {
            schedule.add(new Fault(
                    (long) at,
                    FaultKind.pickByWeight(random.nextDouble(), plan.kinds()),
                    random.nextInt(plan.schedulers()),
                    random.nextDouble(),
                    500 + random.nextDouble() * (MAX_FAULT_MS - 500),
                    random.nextBoolean()));
        }
        return schedule;
    }

    private void begin(Fault fault) {
        startedFaults.add(Math.round(labLoop.clock().nowMs()) + " " + fault);
        try {
            inject(fault);
        } catch (IOException e) {
            recordViolation(Oracle.Rule.CRASH, "while playing " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            out.println("fault " + fault + " could not be played: " + e);
        }
    }

    private void inject(Fault fault) throws IOException, InterruptedException {
        SchedulerSlot slot = slots.get(fault.target);
        FaultLibrary library = slot.faults();
        long pause = (long) (100 + fault.size * 900);
        switch (fault.kind) {
            case RESTART -> slot.restart(pause);
            case KILL -> slot.kill(pause);
            case SUSPENSIONS -> slot.suspendRepeatedly(HOLD_UP_MS, pause / 2, (long) fault.length);
            case HOLD_UPS -> slot.holdUp(HOLD_UP_MS, 100 + fault.size * 300, (long) fault.length);
            case WALL_CLOCK_STEP -> {
                double step = fault.size < 0.5 ? HOUR_MS : fault.size * 8_000;
                library.stepWallClock(fault.direction ? step : -step);
            }
            case FAILING_CALLS -> {
                library.failCalls(0.05 + fault.size * 0.25);
                Thread.sleep((long) fault.length);
                library.failCalls(0);
            }
            case BREAKING_CONNECTIONS -> {
                slot.breakConnections(0.002 + fault.size * 0.01);
                Thread.sleep((long) fault.length);
                slot.breakConnections(0);
            }
            case FAILING_DISK -> {
                FaultLibrary.DiskError[] errors = FaultLibrary.DiskError.values();
                library.failDisk(errors[1 + (int) (fault.size * (errors.length - 1))], fault.direction ? 1 : 0.5);
                Thread.sleep((long) fault.length);
                library.failDisk(FaultLibrary.DiskError.NONE, 0);
            }
            case RELOADS -> slot.reload(fault.size);
            case SETTINGS -> changeSettings(slot, fault, pause);
            case GEARMAN_BURST -> runOnLoop(() -> gearmanPeers.burst(slot.currentRun(), fault.length));
            case OPERATOR_CALLS -> operatorCalls(slot, fault);
            case DEPARTING_CLIENTS -> runOnLoop(() -> hostileClients.depart(slot.currentRun()));
            case BAD_CLIENTS -> runOnLoop(() -> badClients.play(slot.currentRun()));
            case FLOODING_CLIENT -> runOnLoop(() -> hostileClients.flood(slot.currentRun(), fault.length));
            case REPEATED_IDS -> runOnLoop(() -> hostileClients.comeAgain(slot.currentRun()));
            case CROWD -> runOnLoop(() -> hostileClients.crowd(slot.currentRun(), fault.length));
            case DISCOVERY -> runOnLoop(() -> disturbDiscovery(fault));
            default -> runOnLoop(() -> disturbWorkers(fault));
        }
    }

    private void changeSettings(SchedulerSlot slot, Fault fault, long pauseMs)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(plan.seed() * 31 + fault.atMs);
        SettingsFile file = SettingsFile.draw(random, "plan-" + fault.atMs);
        runOnLoop(() -> oracle.count(fault.direction ? "settings.with_restart" : "settings.files"));
        if (fault.direction) {
            slot.changeSettingsAndRestart(file, pauseMs);
        } else {
            slot.changeSettings(file);
        }
    }

    private void operatorCalls(SchedulerSlot slot, Fault fault) throws InterruptedException {
        String worker = labLoop.callOnLoop(() -> {
            List<Worker> up = workers.serving();
            return up.get((int) (fault.size * up.size())).name();
        });
        int scheduler = slot.currentRun().scheduler;
        if (slot.callOperator(worker, true)) {
            runOnLoop(() -> discovery.operatorCallAcknowledged(scheduler, worker, true));
        }
        Thread.sleep((long) fault.length);
        runOnLoop(() ->
                discovery.operatorCallAcknowledged(scheduler, worker, false)); // from here on both states are allowed
        for (int attempts = 0; attempts < 20 && !slot.callOperator(worker, false); attempts++) {
            Thread.sleep(500);
        }
    }

    private void disturbDiscovery(Fault fault) {
        switch ((int) (fault.size * 4)) {
            case 0 -> discovery.makeUnavailable(fault.length);
            case 1 -> discovery.mute(fault.length);
            case 2 -> discovery.delayAnswers(fault.length);
            default -> discovery.silenceWatches();
        }
    }

    private void disturbWorkers(Fault fault) {
        List<Worker> up = new ArrayList<>(workers.serving());
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
            discovery.add(workers.start((long) labLoop.clock().nowMs()));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- calls that run on the laboratory's loop ----

    @Override
    public String knownWorkers() throws InterruptedException {
        return labLoop.callOnLoop(discovery::wholeList);
    }

    @Override
    public void onReady(SchedulerRun schedulerRun) throws InterruptedException {
        runOnLoop(() -> {
            clients.onReady(schedulerRun);
            gearmanPeers.onReady(schedulerRun);
        });
    }

    @Override
    public void runOnLoop(Runnable action) throws InterruptedException {
        labLoop.run(action);
    }

    @Override
    public void recordViolation(Oracle.Rule rule, String detail) {
        labLoop.runLater(() -> oracle.recordViolation(rule, detail));
    }

    @Override
    public double nowMs() {
        return labLoop.clock().nowMs();
    }

    @Override
    public void close() throws IOException {
        faults.shutdownNow();
        for (SchedulerSlot slot : slots) {
            slot.close();
        }
        labLoop.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
