package plumpost.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.lab.LoopThread;
import plumpost.lab.SchedulerProcess;
import plumpost.net.SelectorLoop;
import plumpost.time.SystemClock;
import plumpost.time.TimerWheel;

/** Performs a scale run: the module alone, then real schedulers with emulated workers, one play after the other. */
final class ScaleRun {
    /** The role that measures a scheduler's whole process. */
    static final String SCHEDULER = "scheduler process";
    /** The role that measures the decision module alone. */
    static final String MODULE = "decision module";
    /** The decision module without load reports, where it knows free slots only from its own counts. */
    static final String MODULE_WITHOUT_REPORTS = "decision module, no reports";

    /** Some hundred jobs are served before measuring, so that the code is JIT-compiled as in service. */
    private static final double WARM_UP_JOBS_PER_SECOND = 240;
    /** Well under the free slots that an emulated worker reports, so that no job of the warm-up is given up. */
    private static final double WARM_UP_JOBS_PER_SECOND_OF_WORKER = 4;

    private static final long WARM_UP_MS = 6_000;
    private static final long SETTLE_MS = 2_000;
    /** If the laboratory's own loop lagged by more than this, the laboratory was the bottleneck. */
    private static final double MAX_LAB_LAG_MS = 100;
    /** If the laboratory's process used more than this fraction of one core, it was the bottleneck. */
    private static final double MAX_LAB_CORES = 0.9;

    private final ScalePlan plan;
    private final PrintStream out;
    private final List<Measurement> measurements = new ArrayList<>();

    ScaleRun(ScalePlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    List<Measurement> measurements() {
        return measurements;
    }

    /** Performs all plays; {@code each} receives the measurements so far after every play. */
    void run(Consumer<List<Measurement>> afterEachPlay) throws IOException, InterruptedException {
        for (int play = 0; play < plan.plays(); play++) {
            for (int workers : plan.moduleWorkers()) {
                add(measureModule(MODULE, settings("pull"), workers, play), afterEachPlay);
                add(measureModule(MODULE_WITHOUT_REPORTS, settings("silent"), workers, play), afterEachPlay);
            }
            for (int workers : plan.workers()) {
                add(
                        measureProcess("workers", workers, workers, ScalePlan.BASE_JOBS_PER_SECOND, 0, play),
                        afterEachPlay);
            }
            for (double rate : plan.jobsPerSecond()) {
                add(measureProcess("jobs a second", rate, ScalePlan.BASE_WORKERS, rate, 0, play), afterEachPlay);
            }
            for (double changes : plan.changesPerSecond()) {
                int workers = Math.min(
                        ScalePlan.BASE_WORKERS * 10,
                        plan.workers().get(plan.workers().size() - 1));
                double rate = ScalePlan.BASE_JOBS_PER_SECOND;
                add(measureProcess("changed lines a second", changes, workers, rate, changes, play), afterEachPlay);
            }
        }
    }

    private void add(Measurement measured, Consumer<List<Measurement>> afterEachPlay) {
        measurements.add(measured);
        out.println(measured);
        afterEachPlay.accept(measurements);
    }

    private Measurement measureModule(String role, String settings, int workers, int play) {
        var parsed = SettingsReader.settings(Json.object("settings", settings.getBytes(StandardCharsets.UTF_8)));
        Map<String, Double> figures = ModuleCost.measure(
                parsed, workers, ScalePlan.BASE_JOBS_PER_SECOND, plan.moduleJobs(), plan.seed() + play);
        return new Measurement(role, "workers", workers, play, true, figures);
    }

    private Measurement measureProcess(String axis, double size, int workers, double rate, double changes, int play)
            throws IOException, InterruptedException {
        try (EmulatedFleet emulated = new EmulatedFleet(workers);
                SchedulerProcess scheduler = new SchedulerProcess(emulated.configuration())) {
            double warmUp = Math.min(WARM_UP_JOBS_PER_SECOND, WARM_UP_JOBS_PER_SECOND_OF_WORKER * workers);
            JobSource jobs = emulated.startJobs(scheduler, Math.max(rate, warmUp), plan.seed() + play);
            Thread.sleep(WARM_UP_MS);
            emulated.rate(jobs, rate);
            emulated.startChanges(changes);
            Thread.sleep(SETTLE_MS);
            emulated.resetLag();
            SchedulerProcess.ResourceUsage before = scheduler.resourceUsage();
            double ownBefore = ownCpuSeconds();
            long sentBefore = emulated.callOnLoop(jobs::sent);
            Thread.sleep(plan.seconds() * 1000L);
            SchedulerProcess.ResourceUsage after = scheduler.resourceUsage();
            long sent = emulated.callOnLoop(jobs::sent) - sentBefore;
            double ownCores = (ownCpuSeconds() - ownBefore) / plan.seconds();
            boolean valid = emulated.worstLagMs() < MAX_LAB_LAG_MS && ownCores < MAX_LAB_CORES;
            emulated.stopJobs(jobs);
            return new Measurement(SCHEDULER, axis, size, play, valid, figures(before, after, sent, jobs, emulated));
        }
    }

    private Map<String, Double> figures(
            SchedulerProcess.ResourceUsage before,
            SchedulerProcess.ResourceUsage after,
            long sent,
            JobSource jobs,
            EmulatedFleet emulated) {
        double cpu = after.cpuSeconds() - before.cpuSeconds();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("cpu_percent", 100 * cpu / plan.seconds());
        figures.put("us_per_job", cpu * 1e6 / Math.max(1, sent));
        figures.put("resident_mb", after.residentKb() / 1024.0);
        figures.put("descriptors", (double) after.descriptors());
        figures.put("read_kb_s", (after.bytesRead() - before.bytesRead()) / 1024.0 / plan.seconds());
        figures.put("written_kb_s", (after.bytesWritten() - before.bytesWritten()) / 1024.0 / plan.seconds());
        figures.put("jobs_sent", (double) jobs.sent());
        figures.put("jobs_served", (double) jobs.served());
        figures.put("jobs_refused", (double) jobs.refused());
        figures.put("jobs_failed", (double) jobs.failed());
        figures.put("changed_lines", (double) emulated.changedLines());
        figures.put("lab_lag_ms", emulated.worstLagMs());
        return figures;
    }

    private static double ownCpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/self/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
    }

    /** Returns the settings of the planned fleet for one scheduler; {@code reports} is the way load reports arrive. */
    static String settings(String reports) {
        String zones = String.join("\",\"", EmulatedDiscovery.zoneNames(ScalePlan.ZONES));
        return "{\"balancers\":" + ScalePlan.SCHEDULERS + ",\"index\":0,\"locality\":0,\"dcs\":[\"" + zones
                + "\"],\"shapes\":[\"m1\"],\"membershipMode\":\"on_request\",\"granularityMs\":2.0,\"classes\":["
                + "{\"name\":\"route-plan\",\"sloMs\":600.0,\"deadlineMs\":8000.0,\"effect\":\"free\"},"
                + "{\"name\":\"pickup-order\",\"sloMs\":400.0,\"deadlineMs\":20000.0,\"effect\":\"single_shot\","
                + "\"importance\":10.0}],\"familyInfo\":{\"classStretch\":[2.0,2.0],\"classPriority\":[0,0],"
                + "\"tellsStart\":true,\"reportX0\":\"free slots\"},\"report\":{\"via\":\"" + reports + "\",\"fields\":"
                + "[\"inflight\",\"queue\",\"x0\"]},\"ceilings\":{\"maxAttempts\":6,\"cancelling\":true,\"probes\":true,"
                + "\"dialTimeoutMs\":250.0,\"keepaliveMs\":5000.0},\"rules\":{\"coldFrom\":0.32,\"coldMs\":8900.0,"
                + "\"fallMs\":1000.0,\"fallMultiple\":3.0,\"graceToAnswerMs\":8.0,\"mustAskInMs\":10000.0,"
                + "\"stopSendingWithinMs\":400.0}}";
    }

    /** Emulated workers, discovery and clients on one loop with its own thread. */
    private final class EmulatedFleet implements AutoCloseable {
        private final LoopThread loopThread = new LoopThread("emulated fleet");
        private final SelectorLoop loop = loopThread.loop();
        private final TimerWheel wheel = loopThread.wheel();
        private final SystemClock clock = loopThread.clock();
        private final EmulatedWorkers workers;
        private final EmulatedDiscovery discovery;
        private final Path folder = Files.createTempDirectory("plumpost-scale");
        private int nextChanged;

        EmulatedFleet(int count) throws IOException {
            workers = new EmulatedWorkers(loop, wheel, clock, count, ScalePlan.SERVICE_MS);
            discovery = new EmulatedDiscovery(loop, wheel, clock, workers, ScalePlan.ZONES);
            loopThread.start();
        }

        double worstLagMs() {
            return loopThread.worstLagMs();
        }

        void resetLag() {
            loopThread.resetLag();
        }

        long changedLines() {
            return discovery.changedLines();
        }

        Path configuration() throws IOException {
            String address = discovery.address().getHostString() + ":"
                    + discovery.address().getPort();
            return Files.writeString(
                    folder.resolve("scheduler.json"),
                    "{\"name\":\"s0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"discovery\":\"" + address
                            + "\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},\"known\":{\"seq\":0,\"whole\":true,"
                            + "\"hosts\":[]},\"settings\":" + settings("pull") + "}");
        }

        JobSource startJobs(SchedulerProcess scheduler, double rate, long seed) throws InterruptedException {
            double serviceMs = ScalePlan.SERVICE_MS;
            JobSource jobs = new JobSource(loop, wheel, clock, seed, scheduler.front(), rate, serviceMs);
            loopThread.run(() -> jobs.start());
            return jobs;
        }

        void rate(JobSource jobs, double perSecond) throws InterruptedException {
            loopThread.run(() -> jobs.setRate(perSecond));
        }

        void stopJobs(JobSource jobs) throws InterruptedException {
            loopThread.run(() -> jobs.stop());
            Thread.sleep((long) (2 * ScalePlan.SERVICE_MS)); // outstanding jobs still end
        }

        /** Makes one worker after the other drain and come back. */
        void startChanges(double linesPerSecond) throws InterruptedException {
            if (linesPerSecond > 0) {
                loopThread.run(() -> change(1000 / linesPerSecond));
            }
        }

        private void change(double everyMs) {
            discovery.change(nextChanged / 2 % workers.count(), nextChanged % 2 == 1);
            nextChanged++;
            wheel.schedule(clock.nowMs() + everyMs, () -> change(everyMs));
        }

        /** Runs an action on the loop's thread and returns its result. */
        long callOnLoop(java.util.function.LongSupplier action) throws InterruptedException {
            return loopThread.callOnLoop(action::getAsLong);
        }

        @Override
        public void close() throws IOException {
            loopThread.close();
            Files.deleteIfExists(folder.resolve("scheduler.json"));
            Files.deleteIfExists(folder);
        }
    }
}
