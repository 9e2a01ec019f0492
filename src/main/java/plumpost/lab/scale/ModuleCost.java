package plumpost.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.decision.Logic;

/** Measures the decision module alone, without I/O: the cost of a job and of a changed line by the number of workers. */
final class ModuleCost implements Dispatcher.Actions {
    private static final int WARM_UP_JOBS = 300;
    private static final double RUN_MS = 1_000;
    private static final int CHANGES = 40;

    /** An attempt that was assigned to a worker, and when it ends. */
    private record Running(String job, int attempt, String worker, double endsAt) {}

    private final List<Running> running = new ArrayList<>();
    /** Attempts that were assigned and not yet reported as started. */
    private final List<Running> unstarted = new ArrayList<>();

    private final List<Running> cancelled = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> probed = new ArrayList<>();
    private final Logic logic;
    private final SplittableRandom random;
    private final List<WorkerEntry> workers = new ArrayList<>();
    private final int zones;
    private double now = 1;
    private long assigned;

    private ModuleCost(Dispatcher.Settings settings, int workerCount, long seed) {
        random = new SplittableRandom(seed);
        logic = new Logic(settings, seed, this);
        zones = settings.zones();
        for (int i = 0; i < workerCount; i++) {
            workers.add(entry(i, Phase.SERVING));
        }
        logic.onWorkerList(now, ListMode.FULL, workers);
    }

    private WorkerEntry entry(int worker, Phase phase) {
        return new WorkerEntry("w-" + worker, worker % zones, 0, 0, phase, 1, 0);
    }

    /** Runs jobs at a rate against {@code workerCount} workers; costs are elapsed microseconds of the measuring thread. */
    static Map<String, Double> measure(
            Dispatcher.Settings settings, int workerCount, double jobsPerSecond, int jobs, long seed) {
        ModuleCost play = new ModuleCost(settings, workerCount, seed);
        play.measureJobs(WARM_UP_JOBS, jobsPerSecond);
        double usPerJob = play.measureJobs(jobs, jobsPerSecond);
        double usPerChange = play.measureChanges();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("us_per_job", usPerJob);
        figures.put("us_per_changed_line", usPerChange);
        figures.put("jobs_assigned_share", play.assigned / (double) (jobs + WARM_UP_JOBS));
        return figures;
    }

    private double measureJobs(int count, double jobsPerSecond) {
        long spent = 0;
        for (int i = 0; i < count; i++) {
            now += -Math.log(1 - random.nextDouble()) * 1000 / jobsPerSecond;
            String id = "j-" + now;
            Dispatcher.Job job = new Dispatcher.Job(id, 0, 0, null, 8_000, RUN_MS, 1, Double.NaN, false);
            long begin = System.nanoTime();
            endDue();
            logic.onJobArrived(now, job);
            reportResults();
            logic.onTimer(now, 0);
            reportResults();
            spent += System.nanoTime() - begin;
        }
        return spent / 1e3 / count;
    }

    private void endDue() {
        for (int i = 0; i < running.size(); i++) {
            Running each = running.get(i);
            if (each.endsAt <= now) {
                running.remove(i--);
                end(each, Ending.OK);
            }
        }
    }

    private void end(Running ended, Ending ending) {
        boolean completed = ending == Ending.OK;
        if (completed) {
            attempts.remove(ended.job);
        }
        logic.onAttemptEnded(
                now, new Dispatcher.Outcome(ended.job, ended.attempt, ended.worker, ending, RUN_MS, completed, null));
    }

    /** Reports the immediate results of the module's actions to it: probe results, starts and ends of cancelled attempts. */
    private void reportResults() {
        while (!probed.isEmpty() || !unstarted.isEmpty() || !cancelled.isEmpty()) {
            for (String worker : drainList(probed)) {
                LoadReport report = new LoadReport(0, 0, RUN_MS, Double.NaN, 4, Double.NaN);
                logic.onProbeResult(now, worker, Ending.OK, 1, report);
            }
            for (Running each : drainList(unstarted)) {
                logic.onAttemptStarted(now, each.job, each.attempt, each.worker);
            }
            for (Running each : drainList(cancelled)) {
                end(each, Ending.CANCELLED);
            }
        }
    }

    private static <T> List<T> drainList(List<T> list) {
        List<T> taken = List.copyOf(list);
        list.clear();
        return taken;
    }

    private double measureChanges() {
        long begin = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            int worker = random.nextInt(workers.size());
            logic.onWorkerList(
                    now, ListMode.INCREMENTAL, List.of(entry(worker, i % 2 == 0 ? Phase.DRAINING : Phase.SERVING)));
        }
        return (System.nanoTime() - begin) / 1e3 / CHANGES;
    }

    @Override
    public void assign(String job, String worker, double timeoutMs) {
        int attempt = attempts.merge(job, 1, Integer::sum) - 1;
        if (attempt == 0) {
            assigned++;
        }
        Running begun = new Running(job, attempt, worker, now + RUN_MS);
        running.add(begun);
        unstarted.add(begun);
    }

    @Override
    public void refuse(String job, double retryAfterMs) {
        // counted as not assigned
    }

    @Override
    public void fail(String job) {
        // counted as not assigned
    }

    @Override
    public void cancel(String job, int attempt) {
        for (Running each : List.copyOf(running)) {
            if (each.job.equals(job) && each.attempt == attempt) {
                running.remove(each);
                cancelled.add(each);
            }
        }
    }

    @Override
    public void probe(String worker) {
        probed.add(worker);
    }

    @Override
    public void requestTimer(double atMs, long token) {
        // the module's timer is called at each job
    }

    @Override
    public void requestWorkerList() {
        // the measurement provides the list itself
    }

    @Override
    public void log(String text) {
        // ignored
    }
}
