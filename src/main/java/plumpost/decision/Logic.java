package plumpost.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Makes every decision of one dispatcher by Deferred Assignment Scheduling (docs/design.md). Jobs are held in queues
 * and assigned in the order of their aged cost estimates, each only when a worker has an estimated free slot for it.
 */
public final class Logic implements Dispatcher {
    // Slots that a worker is assumed to have while nothing is known of it: DAS(2).
    static final double DEFAULT_SLOT_LIMIT = 2;
    // Arriving this much earlier counts as much in a job's sort key as half the cost estimate.
    static final double AGING_HALF_LIFE_MS = 100;
    // In mean run times: after that the jobs behind an observation have ended.
    static final double EVIDENCE_LIFETIME_RUNS = 1.5;
    // Probes sent for one held job at a time: more cost fees, fewer find no free slot.
    static final int PROBES_PER_ROUND = 3;
    // After so many rounds a job is assigned by what is known.
    static final int MAX_PROBE_ROUNDS = 2;
    // Weight of a new report in the estimated number of slots of a worker kind.
    static final double SLOT_GAIN = 0.1;
    // Workers drawn at random for each probe; the one with the lowest placement cost is probed.
    static final int CANDIDATES_PER_PROBE = 6;
    // A fee of 1 counts as much as this many times the time left to the job's target.
    static final double FEE_WEIGHT = 3;
    // Parts of a cold worker's budget that are used, by amount of work and by number of jobs.
    static final double COLD_WORK_SHARE = 0.4;
    static final double COLD_JOB_SHARE = 0.6;
    // An ejection doubles with each recent failure of the worker, up to the maximum.
    static final double EJECTION_BASE_MS = 500;
    static final double MAX_EJECTION_MS = 8_000;
    // Above this part of the shared workers the cause is not the workers, and ejections are ignored.
    static final double MAX_EJECTED_SHARE = 0.5;
    // Weight of a new attempt in the share of attempts that start promptly.
    static final double PROMPT_GAIN = 0.1;
    // With fewer prompt starts, workers are taken for full unless there is evidence of a free slot.
    static final double MIN_PROMPT_SHARE_TO_COMMIT = 0.5;
    // Puts late jobs without worth behind all jobs that can still be in time.
    static final double WORTHLESS_KEY_PENALTY = 1e9;
    // Halvings of an estimate that a factor 2 of worth counts for, under overload or once a job is late.
    static final double KEY_STEPS_PER_WORTH_DOUBLING = 10;
    // How long overload lasts after a held job became late: longer than the gaps between such jobs.
    static final double OVERLOAD_MEMORY_MS = 2_000;
    // With fewer prompt starts there is no spare capacity for late jobs without worth.
    static final double MIN_PROMPT_SHARE_FOR_LATE_JOBS = 0.8;
    // Held jobs that may find no worker in one pass, in all or for each kind of work: bounds the cost of a pass.
    static final int MAX_UNPLACED_JOBS = 12;
    static final int MAX_UNPLACED_JOBS_PER_QUEUE = 3;
    // Workers with known slots that are looked at for one job.
    static final int MAX_DEDICATED_WORKERS_EXAMINED = 16;
    // How often a cold worker with known slots is looked at again while it warms up.
    static final int COLD_RECHECKS = 16;
    // Halvings of an estimate that a step of priority counts for: 2 s of age.
    static final double KEY_STEPS_PER_PRIORITY = 20;
    // Held jobs are tried again at this interval when no event frees a slot.
    static final double RECHECK_INTERVAL_MS = 80;
    // A change counts as announced 6 s after discovery had it, so several calls of up to 1 s each must fit.
    static final double LIST_RETRY_MS = 500;
    static final double MAX_LIST_RETRY_MS = 1_300;
    // Time that the list service takes for each dispatcher's call when calls queue up.
    static final double LIST_CALL_MS = 12;
    // Least delay between failing list calls, whatever the settings allow.
    static final double MIN_LIST_RETRY_MS = 50;
    // A host may round a timer down: without tolerance, waiting for the exact time stalled all timers.
    static final double TIMER_SLACK_MS = 0.01;

    private static final Comparator<Request> BY_SORT_KEY = Comparator.<Request>comparingDouble(
                    request -> request.sortKey)
            .thenComparingLong(request -> request.sequence);

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Worker> workersById = new LinkedHashMap<>();
    // Jobs by id, until the client needs no answer and no attempt is open.
    private final Map<String, Request> requests = new HashMap<>();
    // Serving workers whose number of slots is not known.
    private final List<Worker> sharedWorkers = new ArrayList<>();
    // Deleted workers, kept until none of their attempts or probes is open.
    private final Set<Worker> removedWorkers = new LinkedHashSet<>();
    private final Map<Integer, WorkQueue> queues = new LinkedHashMap<>();
    // Queues with held jobs, and some that had them.
    private final Set<WorkQueue> activeQueues = new LinkedHashSet<>();
    // Held jobs that are late and worth nothing: they may use spare capacity only.
    private final Set<Request> worthlessRequests = new LinkedHashSet<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::dueAt).thenComparingLong(Task::sequence));
    private final WorkerKind[] workerKinds;
    // Times of the timers that were requested from the host and are not yet due.
    private final PriorityQueue<Double> requestedTimers = new PriorityQueue<>();
    // By zone: usual delay from sending a job to its start.
    private final double[] startDelayMs;
    // By zone: share of attempts that did not start promptly.
    private final double[] lateStartShare;
    // By tenant: jobs that it may send within its quota, and when that was last updated.
    private final double[] tenantCredit;
    private final double[] tenantCreditAt;
    private final double[] costHints = new double[31];
    // By class, grown as classes come: the longest patience seen.
    private double[] maxPatienceMs;
    private final double maxImportance;
    private int costHintCount;
    private int ejectedCount;
    private int openProbes;
    private int forgottenSincePurge;
    // Orders arrivals, tasks, assignments and freed workers.
    private long nextSequence;
    private boolean recheckScheduled;
    private boolean hasDedicatedWorkers;
    private boolean rechecking;
    private double now;
    private double meanRunMs = 1000;
    private double promptShare = 1;
    private double meanCostMs;
    private double listRequestedAt = Double.NEGATIVE_INFINITY;
    private double overloadedUntil = Double.NEGATIVE_INFINITY;

    /** Creates a dispatcher without jobs or workers; {@code seed} determines all its random choices. */
    public Logic(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        Arrays.setAll(workerKinds = new WorkerKind[settings.kinds()], kind -> new WorkerKind());
        lateStartShare = new double[settings.zones()];
        Arrays.setAll(startDelayMs = new double[settings.zones()], zone -> zone == settings.zone() ? 20 : 60);
        maxImportance = settings.classes().stream()
                .mapToDouble(JobClass::importance)
                .max()
                .orElse(1);
        Arrays.fill(tenantCredit = new double[Math.max(settings.tenants().size(), Settings.MAX_TENANTS)], 3);
        tenantCreditAt = new double[tenantCredit.length];
        maxPatienceMs = new double[settings.classes().size()];
    }

    /** Learned properties of all workers of one kind: speed relative to the cost estimates, and slots. */
    private static final class WorkerKind {
        double costSum = 4000;
        double runSum = 4000;
        double slots = DEFAULT_SLOT_LIMIT;
        double provenSlots = 1;

        double speed() {
            return costSum / runSum;
        }
    }

    /** A known worker with the load and evidence observed for it; counts cover this dispatcher's jobs only. */
    private static final class Worker {
        final String id;
        int zone;
        int kind;
        int cell;
        int failures;
        int openAttempts;
        int sharedIndex = -1; // in sharedWorkers, or -1
        boolean probing;
        Phase phase = Phase.SERVING;
        double processStartedAt;
        double ownSlots;
        double runningSlots;
        double freeSlots;
        double evidenceAt = Double.NEGATIVE_INFINITY;
        double lastReportAt = evidenceAt;
        double lastSentAt = evidenceAt;
        double openConnections; // estimated
        double idleSince;
        double costSum;
        double runSum;
        double ejectedUntil;
        double coldSince;
        double coldJitter; // 0 to 1
        long tieBreak; // among equally good workers the lowest is taken
        long freeKey; // in the queues' freeWorkers, 0 while not there
        BitSet workKinds;
        int knownSlots; // 0 where not known

        Worker(String id) {
            this.id = id;
        }
    }

    /** An attempt of a job; {@code ending} is null while it is open. */
    private static final class Attempt {
        final Worker worker;
        final double sentAt;
        final double slots;
        double startedAt = Double.NaN;
        boolean late; // did not start promptly
        Ending ending;

        Attempt(Worker worker, double sentAt, double slots) {
            this.worker = worker;
            this.sentAt = sentAt;
            this.slots = slots;
        }
    }

    /** A job taken from a client and what became of it; held jobs wait for a worker in a queue. */
    private static final class Request {
        Job job;
        JobClass jobClass;
        final List<Attempt> attempts = new ArrayList<>(2);
        double costMs;
        double deadline;
        double aimAt; // an answer after this time is late
        double sortKey; // the lowest is assigned first
        double worth;
        long sequence;
        int openAttempts;
        int probeRounds;
        boolean done;
        boolean held;
        boolean missesAim; // found to be too late for aimAt
    }

    /** The held jobs of one kind of work, and the workers with known slots that have a free one for it. */
    private static final class WorkQueue {
        final TreeSet<Request> held = new TreeSet<>(BY_SORT_KEY);
        final TreeMap<Long, Worker> freeWorkers = new TreeMap<>(Comparator.reverseOrder());
        int unplaced;
    }

    /** An action to run at a time, unless its request is done by then; {@code request} may be null. */
    private record Task(double dueAt, long sequence, Runnable action, Request request) {}

    @Override
    public void onWorkerList(double eventTime, ListMode mode, List<WorkerEntry> entries) {
        now = eventTime;
        if (mode == ListMode.FAILED) {
            // If all dispatchers call at once, calls queue up: delays are random, and longer after a slow call.
            // Pushed changes count as announced even if nothing listens: a drain's own time bounds the delay.
            Rules rules = settings.rules();
            double queueMs = now - listRequestedAt > LIST_RETRY_MS ? LIST_CALL_MS * settings.balancers() : 0;
            double retryMs = Math.max(LIST_RETRY_MS, Math.min(MAX_LIST_RETRY_MS, queueMs));
            double maxDelayMs = settings.listOnRequest() ? rules.mustAskInMs() : rules.stopSendingWithinMs();
            double backoffMs = Math.min(retryMs, maxDelayMs / 4);
            schedule(
                    now + Math.max(MIN_LIST_RETRY_MS, backoffMs) * (0.5 + random.nextDouble()),
                    this::requestList,
                    null);
        } else {
            boolean firstCall = mode == ListMode.SAVED && settings.listOnRequest();
            if (firstCall)
                schedule(now + random.nextDouble() * settings.rules().mustAskInMs() / 3, this::requestList, null);
            if (mode != ListMode.INCREMENTAL) workersById.values().forEach(worker -> worker.phase = Phase.DELETED);
            entries.forEach(this::updateWorker);
            if (mode == ListMode.INCREMENTAL) {
                entries.forEach(entry -> updateSharedWorkers(workersById.get(entry.id())));
            } else {
                sharedWorkers.clear();
                workersById.values().forEach(worker -> {
                    worker.sharedIndex = -1;
                    updateSharedWorkers(worker);
                });
            }
            removedWorkers.removeIf(this::forgetIfIdle);
            assignHeldJobs();
        }
        runDueTasks();
    }

    /** Adds one worker to the shared workers or removes it, in constant time; deleted ones are noted for removal. */
    private void updateSharedWorkers(Worker worker) {
        boolean shared = worker.phase == Phase.SERVING && worker.knownSlots == 0;
        if (shared && worker.sharedIndex < 0 && sharedWorkers.add(worker))
            worker.sharedIndex = sharedWorkers.size() - 1;
        if (!shared && worker.sharedIndex >= 0) {
            Worker last = sharedWorkers.remove(sharedWorkers.size() - 1);
            if (last != worker) sharedWorkers.set(last.sharedIndex = worker.sharedIndex, last);
            worker.sharedIndex = -1;
        }
        if (worker.phase == Phase.DELETED) removedWorkers.add(worker);
    }

    /** Forgets a deleted worker without open work; true if it need not be checked again. */
    private boolean forgetIfIdle(Worker worker) {
        boolean idle = worker.ownSlots == 0 && !worker.probing;
        if (idle && worker.phase == Phase.DELETED) workersById.remove(worker.id, worker);
        return idle || worker.phase != Phase.DELETED;
    }

    private void requestList() {
        listRequestedAt = now;
        actions.requestWorkerList();
    }

    private void updateWorker(WorkerEntry entry) {
        Worker worker = workersById.computeIfAbsent(entry.id(), Worker::new);
        if (worker.tieBreak == 0) worker.tieBreak = 1 + random.nextInt(1 << 20);
        worker.phase = entry.phase();
        worker.zone = Math.min(Math.max(entry.zone(), 0), startDelayMs.length - 1);
        worker.kind = Math.min(Math.max(entry.kind(), 0), workerKinds.length - 1);
        worker.cell = entry.cell();
        hasDedicatedWorkers |= entry.knownSlots() > 0;
        if (worker.workKinds != null) markBusy(worker);
        worker.workKinds = entry.workKinds();
        worker.knownSlots = entry.knownSlots();
        markFree(worker);
        if (entry.cameUpMs() > worker.processStartedAt) {
            worker.processStartedAt = entry.cameUpMs();
            worker.coldSince = now;
            worker.coldJitter = random.nextDouble();
        }
    }

    @Override
    public void onJobArrived(double eventTime, Job job) {
        now = eventTime;
        JobClass jobClass = settings.classes().get(job.classIndex());
        double costMs = Double.isNaN(job.costMs()) ? medianCostHint() : Math.max(1, job.costMs());
        if (!Double.isNaN(job.costMs())) costHints[costHintCount++ % costHints.length] = costMs;
        meanCostMs += (costMs - meanCostMs) * (meanCostMs == 0 ? 1 : 0.05);
        // A client's repeat has less patience left than a first try: its target time counts from the first try.
        if (job.classIndex() >= maxPatienceMs.length)
            maxPatienceMs = Arrays.copyOf(maxPatienceMs, job.classIndex() + 1);
        maxPatienceMs[job.classIndex()] = Math.max(maxPatienceMs[job.classIndex()], job.patienceMs());
        boolean laterTry = job.patienceMs() < maxPatienceMs[job.classIndex()] - 1;
        double ageMs = laterTry ? Math.max(0, jobClass.deadlineMs() - job.patienceMs()) : 0;
        Request request = new Request();
        request.job = job;
        request.jobClass = jobClass;
        request.costMs = costMs;
        request.deadline = now + job.patienceMs();
        request.aimAt =
                now - ageMs + Math.min(jobClass.aimMs() + jobClass.aimStretch() * costMs, jobClass.deadlineMs());
        if (!Double.isNaN(job.aimMs())) request.aimAt = now + job.aimMs();
        request.worth = jobClass.importance()
                * (takeTenantCredit(job.tenant()) ? 1 : settings.overShareWorth())
                / maxImportance;
        request.sequence = nextSequence++;
        requests.put(job.id(), request);
        schedule(
                request.deadline - settings.minTimeLeftMs(),
                () -> {
                    if (request.openAttempts == 0) finish(request);
                },
                request);
        schedule(request.deadline - 2 * settings.granularityMs(), () -> finish(request), request);
        hold(request);
        assignHeldJobs();
        runDueTasks();
    }

    /** Takes a credit if the tenant is within its quota, of which each dispatcher grants an equal part. */
    private boolean takeTenantCredit(int tenant) {
        if (tenant < 0
                || tenant >= Math.min(tenantCredit.length, settings.tenants().size())) return true;
        double ratePerMs = settings.tenants().get(tenant).quotaPerS() / 1000 / settings.balancers();
        tenantCredit[tenant] = Math.min(
                tenantCredit[tenant] + (now - tenantCreditAt[tenant]) * ratePerMs, Math.max(3, ratePerMs * 2000));
        tenantCreditAt[tenant] = now;
        return tenantCredit[tenant] >= 1 && tenantCredit[tenant]-- >= 1;
    }

    /** The median of recent cost hints, or the mean run time while there are none. */
    private double medianCostHint() {
        double[] recent = Arrays.copyOf(costHints, Math.min(costHintCount, costHints.length));
        Arrays.sort(recent);
        return costHintCount == 0 ? meanRunMs : recent[recent.length / 2];
    }

    @Override
    public void onAttemptStarted(double eventTime, String jobId, int attemptNumber, String workerId) {
        now = eventTime;
        Request request = requests.get(jobId);
        Attempt attempt = request == null || attemptNumber >= request.attempts.size()
                ? null
                : request.attempts.get(attemptNumber);
        if (attempt != null && attempt.ending == null && Double.isNaN(attempt.startedAt)) {
            Worker worker = attempt.worker;
            WorkerKind kind = workerKinds[worker.kind];
            attempt.startedAt = now;
            worker.runningSlots += attempt.slots;
            double delayMs = now - attempt.sentAt;
            if (!attempt.late) recordStart(worker, 1);
            if (delayMs <= lateStartAfterMs(worker)) {
                startDelayMs[worker.zone] +=
                        (delayMs - startDelayMs[worker.zone]) * (delayMs < startDelayMs[worker.zone] ? 0.3 : 0.05);
                kind.provenSlots = Math.max(kind.provenSlots, worker.runningSlots);
                kind.slots = Math.max(kind.slots, kind.provenSlots);
                recordEvidence(worker, Math.max(estimatedFreeSlots(worker), worker.ownSlots < kind.slots ? 1 : 0));
            } else {
                recordEvidence(worker, Math.min(0, worker.runningSlots - worker.ownSlots));
            }
            assignHeldJobs();
        }
        runDueTasks();
    }

    @Override
    public void onAttemptProgress(double eventTime, String jobId, int attemptNumber, String workerId, double share) {}

    @Override
    public void onAnswerStreaming(double eventTime, String jobId, int attemptNumber, String workerId) {}

    @Override
    public void onAttemptEnded(double eventTime, Outcome outcome) {
        now = eventTime;
        Request request = requests.get(outcome.job());
        Attempt attempt = request == null || outcome.attempt() >= request.attempts.size()
                ? null
                : request.attempts.get(outcome.attempt());
        if (attempt == null || attempt.ending != null) return;
        Worker worker = attempt.worker;
        attempt.ending = outcome.ending();
        request.openAttempts--;
        worker.ownSlots = Math.max(0, worker.ownSlots - attempt.slots);
        worker.openAttempts--;
        worker.idleSince = now;
        boolean started = !Double.isNaN(attempt.startedAt);
        if (started) worker.runningSlots = Math.max(0, worker.runningSlots - attempt.slots);
        worker.freeSlots += attempt.slots;
        // The attempt started promptly, so no job was queued at the worker: the slot that it leaves is free.
        if (started && !attempt.late)
            recordEvidence(
                    worker, Math.max(worker.freeSlots, worker.ownSlots < workerKinds[worker.kind].slots ? 1 : 0));
        markFree(worker);
        recordEnding(request, attempt, worker, started);
        if (outcome.report() != null) applyReport(worker, outcome.report());
        if (outcome.requestDone() || request.done) forget(request);
        else if (request.openAttempts == 0) retryOrFinish(request);
        assignHeldJobs();
        runDueTasks();
    }

    @Override
    public void onClientGone(double eventTime, String jobId) {
        now = eventTime;
        if (requests.containsKey(jobId)) forget(requests.get(jobId));
        runDueTasks();
    }

    @Override
    public void onTimer(double eventTime, long token) {
        now = eventTime;
        while (!requestedTimers.isEmpty() && requestedTimers.peek() <= now + TIMER_SLACK_MS) requestedTimers.poll();
        runDueTasks();
    }

    @Override
    public void onProbeResult(double eventTime, String workerId, Ending ending, double waitMs, LoadReport report) {
        now = eventTime;
        Worker worker = workersById.get(workerId);
        if (worker != null && worker.probing) {
            worker.probing = false;
            openProbes--;
            if (ending != Ending.OK && ending != Ending.MOOT)
                recordEvidence(worker, Math.min(worker.freeSlots, -DEFAULT_SLOT_LIMIT));
            else if (report != null) applyReport(worker, report);
            assignHeldJobs();
        }
        runDueTasks();
    }

    @Override
    public void onPeerMessage(double eventTime, int from, byte[] bytes) {}

    // ---- Ordinary path: hold jobs and assign them to workers with free slots ----

    /** Computes a job's sort key and puts it into its queue. */
    private void hold(Request request) {
        request.held = true;
        Attempt first = firstThatMayHaveRun(request);
        if (first != null && request.jobClass.effect() == Effect.GUARDED) {
            // Repeats are harmless only within the window: a job that is still held at its end is finished.
            schedule(
                    first.sentAt + request.jobClass.windowMs(),
                    () -> {
                        if (request.held) finish(request);
                    },
                    request);
        }
        // Without any hints, estimates would differ only by the time at which they were made.
        boolean noHints = costHintCount == 0 && Double.isNaN(request.job.costMs());
        request.sortKey = (noHints ? 0 : Math.log(request.costMs) / Math.log(2)) + now / AGING_HALF_LIFE_MS;
        if (!request.attempts.isEmpty()) request.sortKey = request.attempts.get(0).sentAt / AGING_HALF_LIFE_MS;
        // Under overload, jobs of less worth come later.
        if (now < overloadedUntil)
            request.sortKey -= KEY_STEPS_PER_WORTH_DOUBLING * Math.log(Math.max(request.worth, 1e-3)) / Math.log(2);
        request.sortKey -= KEY_STEPS_PER_PRIORITY * request.job.priority();
        if (request.missesAim) request.sortKey += lateKeyPenalty(request);
        enqueue(request);
    }

    private void enqueue(Request request) {
        WorkQueue queue = queueFor(request.job.workKind());
        queue.held.add(request);
        activeQueues.add(queue);
        if (isWorthless(request)) worthlessRequests.add(request);
    }

    /** How far a late job moves back: by the worth that it lost, or behind all others if it has none left. */
    private static double lateKeyPenalty(Request request) {
        double kept = Math.min(1, request.jobClass.lateWorth());
        return isWorthless(request)
                ? WORTHLESS_KEY_PENALTY
                : -KEY_STEPS_PER_WORTH_DOUBLING * Math.log(kept) / Math.log(2);
    }

    private static boolean isWorthless(Request request) {
        return request.missesAim && request.jobClass.lateWorth() == 0;
    }

    /** The number of held jobs. */
    int heldCount() {
        return activeQueues.stream().mapToInt(queue -> queue.held.size()).sum();
    }

    private WorkQueue queueFor(int work) {
        return queues.computeIfAbsent(work, key -> new WorkQueue());
    }

    /** Lists a serving worker that has a free known slot for each kind of its work, the one freed last first. */
    private void markFree(Worker worker) {
        if (worker.knownSlots == 0) return;
        markBusy(worker);
        if (worker.phase == Phase.SERVING && worker.ownSlots < worker.knownSlots) {
            worker.freeKey = ++nextSequence;
            for (int work = worker.workKinds.nextSetBit(0); work >= 0; work = worker.workKinds.nextSetBit(work + 1)) {
                queueFor(work).freeWorkers.put(worker.freeKey, worker);
            }
        }
    }

    /** Removes a worker from the free workers of all its kinds of work. */
    private void markBusy(Worker worker) {
        for (int work = worker.freeKey == 0 ? -1 : worker.workKinds.nextSetBit(0);
                work >= 0;
                work = worker.workKinds.nextSetBit(work + 1)) {
            queueFor(work).freeWorkers.remove(worker.freeKey);
        }
        worker.freeKey = 0;
    }

    /** The queue whose first job has the lowest key, of those that this pass may still try; null if none. */
    private WorkQueue nextQueue() {
        WorkQueue first = null;
        for (WorkQueue queue : activeQueues) {
            boolean noFreeWorker = !rechecking && sharedWorkers.isEmpty() && queue.freeWorkers.isEmpty();
            if (queue.held.isEmpty()
                    || hasDedicatedWorkers && (noFreeWorker || queue.unplaced >= MAX_UNPLACED_JOBS_PER_QUEUE)) continue;
            if (first == null || BY_SORT_KEY.compare(queue.held.first(), first.held.first()) < 0) first = queue;
        }
        return first;
    }

    /** Assigns held jobs, lowest sort key first, to workers with an estimated free slot. */
    private void assignHeldJobs() {
        if (promptShare < MIN_PROMPT_SHARE_FOR_LATE_JOBS)
            List.copyOf(worthlessRequests).forEach(this::finish);
        activeQueues.removeIf(queue -> queue.held.isEmpty());
        activeQueues.forEach(queue -> queue.unplaced = 0);
        List<Request> unplaced = new ArrayList<>();
        double[] blockedSlots = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        for (WorkQueue queue = nextQueue();
                queue != null && (hasDedicatedWorkers || unplaced.size() < MAX_UNPLACED_JOBS);
                queue = nextQueue()) {
            Request request = queue.held.pollFirst();
            if (request.done) continue;
            if (!request.missesAim && now + request.costMs / 2 > request.aimAt) {
                // A job that cannot be in time goes back by its lost worth; one without worth needs spare capacity.
                request.missesAim = true;
                request.sortKey += lateKeyPenalty(request);
                overloadedUntil = now + OVERLOAD_MEMORY_MS;
                if (isWorthless(request) && promptShare < MIN_PROMPT_SHARE_FOR_LATE_JOBS) finish(request);
                else enqueue(request);
                continue;
            }
            // If no worker had enough slots, none has for other jobs of as many: one scan serves them all.
            int recallIndex = canRecall(request, 1) ? 1 : 0;
            Worker worker = request.job.slots() >= blockedSlots[recallIndex] ? null : chooseWorker(request, queue);
            if (worker == null
                    && request.jobClass.kind() < 0
                    && !hasDedicatedWorkers
                    && request.attempts.isEmpty()
                    && !shouldProbe(request)) {
                blockedSlots[recallIndex] = Math.min(blockedSlots[recallIndex], request.job.slots());
            }
            if (worker == null || !send(request, worker)) {
                unplaced.add(request);
                queue.unplaced++;
            }
        }
        unplaced.forEach(this::enqueue);
        if (!recheckScheduled && heldCount() > 0) {
            recheckScheduled = true;
            schedule(
                    now + RECHECK_INTERVAL_MS,
                    () -> {
                        recheckScheduled = false;
                        rechecking = true;
                        assignHeldJobs();
                        rechecking = false;
                    },
                    null);
        }
    }

    /** The worker with a free slot and the lowest placement cost, or null; may send probes if there is none. */
    private Worker chooseWorker(Request request, WorkQueue queue) {
        boolean probesFirst = shouldProbe(request);
        Worker best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        // Few attempts start promptly, so the workers are full: the default slot limit would only fill their queues.
        boolean thresholdDistrusted = promptShare < MIN_PROMPT_SHARE_TO_COMMIT && !canRecall(request, 1);
        boolean ignoreEjections = ejectedCount > MAX_EJECTED_SHARE * sharedWorkers.size();
        Iterator<Worker> dedicatedWorkers = queue.freeWorkers.values().iterator();
        for (int i = 0, examined = 0;
                i < sharedWorkers.size() || examined < MAX_DEDICATED_WORKERS_EXAMINED && dedicatedWorkers.hasNext(); ) {
            Worker worker = i < sharedWorkers.size() ? sharedWorkers.get(i++) : dedicatedWorkers.next();
            boolean dedicated = worker.knownSlots > 0;
            if (dedicated && (worker.ejectedUntil > now || !coldBudgetAllows(request, worker))) {
                dedicatedWorkers.remove(); // listed again later, so that other workers are examined meanwhile
                schedule(
                        Math.max(worker.ejectedUntil, now + settings.rules().coldMs() / COLD_RECHECKS),
                        () -> markFree(worker),
                        null);
                continue;
            }
            if (probesFirst && !dedicated && now - worker.evidenceAt > meanRunMs) continue;
            examined += dedicated ? 1 : 0;
            if (!ignoreEjections && worker.ejectedUntil > now
                    || !mayRunOn(request, worker)
                    || !runsWork(request, worker)) continue;
            // A job that must not be repeated is not used to find out whether a worker that failed lately works again.
            if (probesFirst && !dedicated && worker.failures > 0 && request.jobClass.effect() != Effect.FREE) continue;
            double freeSlots = estimatedFreeSlots(worker);
            if (thresholdDistrusted && !dedicated)
                freeSlots -= Math.max(0, 1 - evidenceWeight(worker)) * (DEFAULT_SLOT_LIMIT - worker.ownSlots);
            if (freeSlots <= 0 || probesFirst && freeSlots < request.job.slots() || !coldBudgetAllows(request, worker))
                continue;
            double placementCost = placementCostMs(worker, request, Math.max(0, request.job.slots() - freeSlots));
            if (placementCost < bestCost || placementCost == bestCost && worker.tieBreak < best.tieBreak) {
                best = worker;
                bestCost = placementCost;
            }
        }
        if (best == null && probesFirst && openProbes == 0) {
            request.probeRounds++;
            probeWorkers(request);
        }
        return best;
    }

    /** Expected time to the job's end on a worker, plus fees and risks as a part of the time left to its target. */
    private double placementCostMs(Worker worker, Request request, double missingSlots) {
        boolean sameZone = worker.zone == settings.zone();
        double fee = (hasIdleConnection(worker) ? 0 : settings.fees().handshake())
                + (sameZone ? 0 : settings.fees().crossZone());
        double penalty = fee * FEE_WEIGHT + (probesEnabled() ? 0 : lateStartShare[worker.zone]);
        double expectedEndMs = request.costMs / speed(worker)
                + missingSlots * meanRunMs / workerKinds[worker.kind].slots
                + (sameZone ? 0 : startDelayMs[worker.zone]);
        if (worker.failures > 0 && request.jobClass.effect() != Effect.FREE) penalty += 1;
        return Math.max(probesEnabled() ? 0 : request.aimAt - now, expectedEndMs)
                + penalty * Math.max(0, request.aimAt - now);
    }

    private boolean runsWork(Request request, Worker worker) {
        return worker.workKinds == null
                ? request.job.workKind() < settings.classes().size()
                : worker.workKinds.get(request.job.workKind());
    }

    /** True while a job must find fresh evidence of a free slot before the default slot limit applies. */
    private boolean shouldProbe(Request request) {
        return probesEnabled() && request.probeRounds < MAX_PROBE_ROUNDS;
    }

    /** Free slots by evidence while it is fresh; with its age the default slot limit takes over. */
    private double estimatedFreeSlots(Worker worker) {
        if (worker.knownSlots > 0) return worker.knownSlots - worker.ownSlots;
        double weight = evidenceWeight(worker);
        return weight * worker.freeSlots + (1 - weight) * (DEFAULT_SLOT_LIMIT - worker.ownSlots);
    }

    /** Falls from 1 for new evidence to 0 at the end of its lifetime. */
    private double evidenceWeight(Worker worker) {
        return Math.max(0, 1 - (now - worker.evidenceAt) / (EVIDENCE_LIFETIME_RUNS * meanRunMs));
    }

    /** True where an open connection to the worker is likely to be idle. */
    private boolean hasIdleConnection(Worker worker) {
        return worker.openConnections > worker.openAttempts
                && now - worker.idleSince < settings.limits().keepaliveMs();
    }

    private void recordEvidence(Worker worker, double freeSlots) {
        worker.freeSlots = freeSlots;
        worker.evidenceAt = now;
    }

    private double speed(Worker worker) {
        return (worker.costSum + 3 * meanRunMs * workerKinds[worker.kind].speed()) / (worker.runSum + 3 * meanRunMs);
    }

    /** Delay after which an attempt's start is no longer prompt. */
    private double lateStartAfterMs(Worker worker) {
        return 2 * startDelayMs[worker.zone] + 4 * settings.granularityMs() + 5;
    }

    // ---- Load reports: a held job probes workers before the default slot limit applies ----

    private void probeWorkers(Request request) {
        int workerCount = sharedWorkers.size();
        for (int i = 0, asked = 0; i < 4 * PROBES_PER_ROUND && asked < PROBES_PER_ROUND && workerCount > 0; i++) {
            Worker best = null;
            for (int draw = 0; draw < CANDIDATES_PER_PROBE; draw++) {
                Worker worker = sharedWorkers.get(random.nextInt(workerCount));
                boolean recentlyAsked = worker.probing || now - worker.lastReportAt <= meanRunMs / 2;
                if (recentlyAsked || !mayRunOn(request, worker) || worker.ejectedUntil > now) continue;
                if (best == null || placementCostMs(worker, request, 0) < placementCostMs(best, request, 0))
                    best = worker;
            }
            if (best == null) continue;
            best.probing = true;
            openProbes++;
            asked++;
            actions.probe(best.id);
        }
    }

    private void applyReport(Worker worker, LoadReport report) {
        WorkerKind kind = workerKinds[worker.kind];
        // A worker's slots are the free and the running ones; few jobs of this dispatcher never show them all.
        double totalSlots =
                report.freeSlots() + report.inflight() - (Double.isNaN(report.queue()) ? 0 : report.queue());
        if (Double.isNaN(totalSlots) && report.freeSlots() >= 0) totalSlots = Math.max(kind.slots, report.freeSlots());
        // One false report must not flood cold workers: it raises the slots of the kind by a tenth at most.
        double boundedSlots = Math.min(totalSlots, 2 * kind.slots);
        if (!Double.isNaN(boundedSlots))
            kind.slots = Math.max(kind.provenSlots, kind.slots + (boundedSlots - kind.slots) * SLOT_GAIN);
        double freeSlots = !Double.isNaN(report.freeSlots()) ? report.freeSlots() : kind.slots - report.inflight();
        if (!Double.isNaN(report.queue())) freeSlots -= report.queue();
        // A report may be older than jobs sent since: this dispatcher's own jobs take slots whatever it says.
        if (!Double.isNaN(totalSlots))
            freeSlots = Math.min(freeSlots, Math.max(kind.slots, totalSlots) - worker.ownSlots);
        // A report with an answer is old: it shows the size of the worker, not its free slots.
        if (!Double.isNaN(freeSlots) && probesEnabled()) recordEvidence(worker, freeSlots);
        worker.lastReportAt = now;
    }

    // ---- Late starts: harmless jobs are recalled, only where probes cannot find free slots ----

    /** Records a late start if the attempt has not started promptly, and recalls the job if that is allowed. */
    private void scheduleStartCheck(Request request, Attempt attempt) {
        if (!settings.tellsStart()) return;
        schedule(
                attempt.sentAt + lateStartAfterMs(attempt.worker),
                () -> {
                    if (attempt.ending != null || !Double.isNaN(attempt.startedAt)) return;
                    attempt.late = true;
                    recordStart(attempt.worker, 0);
                    recordEvidence(
                            attempt.worker,
                            Math.min(attempt.worker.freeSlots, attempt.worker.runningSlots - attempt.worker.ownSlots));
                    if (canRecall(request, 0)) actions.cancel(request.job.id(), request.attempts.indexOf(attempt));
                },
                request);
    }

    private boolean canRecall(Request request, int furtherAttempts) {
        return settings.reports() != Reports.PULL
                && settings.limits().cancelling()
                && request.jobClass.effect() == Effect.FREE
                && request.attempts.size() + furtherAttempts < settings.limits().maxAttempts();
    }

    private void recordStart(Worker worker, double onTime) {
        promptShare += (onTime - promptShare) * PROMPT_GAIN;
        lateStartShare[worker.zone] += (1 - onTime - lateStartShare[worker.zone]) * PROMPT_GAIN;
    }

    /** Updates a worker's evidence, failures and speed after an attempt. */
    private void recordEnding(Request request, Attempt attempt, Worker worker, boolean started) {
        boolean reportedByWorker = attempt.ending == Ending.ERROR || attempt.ending == Ending.FULL;
        if (worker.knownSlots > 0 && reportedByWorker) return; // blames the job, not the worker
        switch (attempt.ending) {
            case OK -> {
                worker.failures /= 2; // not 0: a worker that fails every second job must stay suspect
                if (started) learnSpeed(request, attempt, worker);
            }
            case FULL -> {
                // The worker is full, or drains and is not yet listed as draining.
                recordEvidence(worker, -DEFAULT_SLOT_LIMIT);
                eject(worker, 0.25);
            }
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> {
                // A connection refused at once costs no time: only the next failure in a row ejects the worker.
                boolean connectFailed = attempt.ending == Ending.CONNECT_FAILED;
                boolean failedAtOnce = connectFailed
                        && now - attempt.sentAt < settings.limits().dialTimeoutMs() / 2;
                if (!failedAtOnce) recordEvidence(worker, Math.min(worker.freeSlots, 0));
                boolean conclusive = attempt.ending == Ending.ERROR || connectFailed && !failedAtOnce;
                if (conclusive || worker.failures > 0) eject(worker, 1);
                else worker.failures++;
            }
            default -> recordEvidence(worker, started ? worker.freeSlots : Math.min(worker.freeSlots, 0));
        }
    }

    @Override
    public void applySettings(double eventTime, Settings next) {
        now = eventTime;
        settings = next;
    }

    private boolean probesEnabled() {
        return settings.reports() == Reports.PULL && settings.limits().probes();
    }

    @Override
    public int ejectedWorkers(double atMs) {
        return (int) sharedWorkers.stream()
                .filter(worker -> worker.ejectedUntil > atMs)
                .count();
    }

    /** Counts a failure and keeps jobs away from the worker for a time that doubles with each failure. */
    private void eject(Worker worker, double factor) {
        worker.failures++;
        worker.ejectedUntil =
                now + factor * Math.min(EJECTION_BASE_MS * (1 << Math.min(worker.failures, 10)), MAX_EJECTION_MS);
        ejectedCount = (int)
                sharedWorkers.stream().filter(each -> each.ejectedUntil > now).count();
    }

    private void learnSpeed(Request request, Attempt attempt, Worker worker) {
        double runMs = now - attempt.startedAt;
        meanRunMs += (runMs - meanRunMs) * 0.05;
        WorkerKind kind = workerKinds[worker.kind];
        kind.costSum = kind.costSum * 0.99 + request.costMs;
        kind.runSum = kind.runSum * 0.99 + runMs;
        worker.costSum = worker.costSum * 0.8 + request.costMs;
        worker.runSum = worker.runSum * 0.8 + runMs;
    }

    /** Holds a job again after its last open attempt, or finishes it; a worker with known slots has the last word. */
    private void retryOrFinish(Request request) {
        Attempt first = firstThatMayHaveRun(request);
        Attempt last = request.attempts.get(request.attempts.size() - 1);
        boolean failedByWorker = last.ending == Ending.ERROR && last.worker.knownSlots > 0;
        if (failedByWorker) request.aimAt = now;
        boolean noFurtherAttempt =
                failedByWorker || request.attempts.size() >= settings.limits().maxAttempts();
        if (noFurtherAttempt || first != null && !mayRunOn(request, first.worker)) finish(request);
        else hold(request);
    }

    /** The first attempt that is open or may have run the job, or null. */
    private static Attempt firstThatMayHaveRun(Request request) {
        for (Attempt attempt : request.attempts)
            if (attempt.ending == null || !attempt.ending.neverRan()) return attempt;
        return null;
    }

    /** Whether the kind fits and, rule 2, a repeat is harmless: free, never run, or dropped by the worker's group. */
    private boolean mayRunOn(Request request, Worker worker) {
        Attempt first = firstThatMayHaveRun(request);
        if (request.jobClass.kind() >= 0 && request.jobClass.kind() != worker.kind) return false;
        if (first == null || request.jobClass.effect() == Effect.FREE) return true;
        boolean groupDropsRepeats =
                request.jobClass.effect() == Effect.GUARDED && now < first.sentAt + request.jobClass.windowMs();
        return groupDropsRepeats
                && switch (request.jobClass.scope()) {
                    case ALL -> true;
                    case ZONE -> first.worker.zone == worker.zone;
                    case CELL -> first.worker.cell == worker.cell;
                };
    }

    /** Starts an attempt if rules 1 to 4 allow it; every attempt starts here. */
    private boolean send(Request request, Worker worker) {
        if (request.done
                || worker.phase != Phase.SERVING
                || request.attempts.size() >= settings.limits().maxAttempts()
                || request.openAttempts > 0 && !settings.limits().parallelTries()
                || !mayRunOn(request, worker)
                || now >= request.deadline - settings.minTimeLeftMs()
                || !coldBudgetAllows(request, worker)) {
            return false;
        }
        Attempt attempt = new Attempt(worker, now, request.job.slots());
        request.attempts.add(attempt);
        request.openAttempts++;
        request.held = false;
        worthlessRequests.remove(request);
        request.probeRounds = 0;
        if (!hasIdleConnection(worker))
            worker.openConnections = now - worker.idleSince < settings.limits().keepaliveMs()
                    ? worker.openConnections + 1
                    : worker.openAttempts + 1;
        worker.ownSlots += attempt.slots;
        worker.openAttempts++;
        if (worker.knownSlots > 0 && worker.ownSlots >= worker.knownSlots) markBusy(worker);
        worker.freeSlots -= attempt.slots;
        worker.tieBreak = -nextSequence++;
        worker.lastSentAt = now;
        actions.assign(request.job.id(), worker.id, 0);
        scheduleStartCheck(request, attempt);
        return true;
    }

    /** Rule 4: a cold worker gets a job only once this dispatcher's part of its budget has grown to that work. */
    private boolean coldBudgetAllows(Request request, Worker worker) {
        double ageMs = now - worker.processStartedAt;
        Rules rules = settings.rules();
        if (worker.processStartedAt <= 0 || ageMs >= rules.coldMs() || rules.coldMs() <= 0) return true;
        double warmShare = rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageMs) / rules.coldMs();
        WorkerKind kind = workerKinds[worker.kind];
        double workPerMs = COLD_WORK_SHARE * rules.fallMultiple() * warmShare * kind.slots * kind.speed();
        double neededWork = Math.max(
                request.costMs, meanCostMs * COLD_WORK_SHARE / COLD_JOB_SHARE); // rule 4 counts jobs of mean cost
        // Random jitter spreads the first jobs of all dispatchers evenly over time.
        double savedWork = (now - Math.max(worker.lastSentAt, worker.coldSince)) * (workPerMs / settings.balancers())
                + (worker.lastSentAt < worker.coldSince ? worker.coldJitter * neededWork : 0);
        return neededWork <= savedWork && request.costMs <= workPerMs * rules.fallMs() / 4;
    }

    /** Gives the final answer unless done: refuses where a repeat is harmless and may be in time, else fails. */
    private void finish(Request request) {
        if (request.done) return;
        boolean harmless = firstThatMayHaveRun(request) == null || request.jobClass.effect() == Effect.FREE;
        double retryAfterMs = Math.min(meanRunMs, settings.limits().maxRetryAfterMs()); // a mean job has ended by then
        if (harmless && now < request.aimAt) actions.refuse(request.job.id(), retryAfterMs);
        else actions.fail(request.job.id());
        for (int i = 0; settings.limits().cancelling() && i < request.attempts.size(); i++) {
            if (request.attempts.get(i).ending == null) actions.cancel(request.job.id(), i);
        }
        forget(request);
    }

    /** Drops a job that is owed no answer; it stays known while attempts are open. */
    private void forget(Request request) {
        request.done = true;
        if (request.held) queueFor(request.job.workKind()).held.remove(request);
        worthlessRequests.remove(request);
        if (++forgottenSincePurge > 1024 + tasks.size() / 2) {
            tasks.removeIf(
                    task -> task.request != null && task.request.done); // else they would stay until their deadlines
            forgottenSincePurge = 0;
        }
        request.held = false;
        if (request.openAttempts == 0) requests.remove(request.job.id());
    }

    /** Runs an action at or after a time, unless the request, if any, is done by then. */
    private void schedule(double dueAt, Runnable action, Request request) {
        tasks.add(new Task(dueAt, nextSequence++, action, request));
    }

    /** Runs the tasks that are due and requests a host timer for the next one unless an earlier timer is pending. */
    private void runDueTasks() {
        while (!tasks.isEmpty()) {
            Task next = tasks.peek();
            boolean obsolete = next.request != null && next.request.done;
            if (!obsolete && next.dueAt > now + TIMER_SLACK_MS) break;
            tasks.poll();
            if (!obsolete) next.action.run();
        }
        if (!tasks.isEmpty() && (requestedTimers.isEmpty() || tasks.peek().dueAt < requestedTimers.peek())) {
            requestedTimers.add(tasks.peek().dueAt);
            actions.requestTimer(tasks.peek().dueAt, 0);
        }
    }
}
