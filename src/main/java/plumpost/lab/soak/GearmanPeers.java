package plumpost.lab.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.net.SelectorLoop;
import plumpost.time.Clock;
import plumpost.time.TimerWheel;

/**
 * The emulated Gearman clients and workers of a soak. Each job is known by its data: a worker may get it once, and only under the
 * function that its client named; a client may get only the result that a worker made for it; a job that was taken has its end.
 * Not thread-safe: all calls are made on the laboratory's loop.
 */
final class GearmanPeers {
    /** The names of the functions begin with this, by which the operator's rule knows them. */
    static final String FUNCTION_PREFIX = "van-";

    private static final int WORKERS_PER_FUNCTION = 3;
    private static final double MEAN_GAP_MS = 400;
    private static final double BURST_GAP_MS = 8;
    /** Results of this long a burst use up the memory that a scheduler has for outcomes. */
    private static final double MIN_BURST_MS = 4_000;

    private static final double MAX_SERVICE_MS = 20;
    private static final double BACKGROUND_FRACTION = 0.25;
    private static final double RECONNECT_MS = 100;
    /** A taken background job that no worker got by then is looked up; it may still wait, but must be known. */
    private static final double LOOKUP_AFTER_MS = 5_000;

    private static final double LATE_ANSWER_MS = 500;
    private static final double SLACK_MS = 250;

    private final SelectorLoop loop;
    private final TimerWheel wheel;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private final Map<String, GearmanJob> jobs = new HashMap<>();
    private final Set<GearmanJob> unjudged = new HashSet<>();
    private final Map<Integer, SchedulerRun> currentRuns = new HashMap<>();
    private final Map<Integer, Double> burstUntil = new HashMap<>();
    private boolean sending = true;
    private long sent;

    GearmanPeers(SelectorLoop loop, TimerWheel wheel, Clock clock, Oracle oracle, SplittableRandom random) {
        this.loop = loop;
        this.wheel = wheel;
        this.clock = clock;
        this.oracle = oracle;
        this.random = random;
    }

    /** Connects workers to a process that is ready, and directs new jobs for its scheduler to it. */
    void onReady(SchedulerRun run) {
        boolean first = currentRuns.put(run.scheduler, run) == null;
        for (GearmanFunction function : GearmanFunction.values()) {
            for (int i = 0; i < WORKERS_PER_FUNCTION; i++) {
                new Worker(run, function);
            }
        }
        if (first) {
            sendJobs(run.scheduler);
        }
    }

    /** Sends jobs at a multiple of the usual rate for a time. */
    void burst(SchedulerRun run, double forMs) {
        burstUntil.put(run.scheduler, clock.nowMs() + Math.max(forMs, MIN_BURST_MS));
        oracle.count("gearman.bursts");
    }

    /** Sends no more jobs. */
    void stop() {
        sending = false;
    }

    private void sendJobs(int scheduler) {
        boolean bursting = clock.nowMs() < burstUntil.getOrDefault(scheduler, 0.0);
        double gapMs = -Math.log(1 - random.nextDouble()) * (bursting ? BURST_GAP_MS : MEAN_GAP_MS);
        wheel.schedule(clock.nowMs() + Math.min(gapMs, MEAN_GAP_MS), () -> {
            SchedulerRun run = currentRuns.get(scheduler);
            if (sending) {
                sendJobs(scheduler);
                submit(run);
            }
        });
    }

    private void submit(SchedulerRun run) {
        RequestClass orders = run.classes.find(RequestClass.ORDER.path(), clock.nowMs());
        if (orders == null || run.wasTerminated() || run.hasEnded()) {
            return;
        }
        boolean background = random.nextDouble() < BACKGROUND_FRACTION;
        GearmanFunction function = background ? GearmanFunction.PICKUP : GearmanFunction.BULK;
        GearmanJob job = new GearmanJob("g" + sent++, function, background, run, orders.deadlineMs(), clock.nowMs());
        jobs.put(job.data, job);
        unjudged.add(job);
        oracle.count("gearman.jobs");
        new Client(job);
        double judgedAfterMs = background ? LOOKUP_AFTER_MS : job.deadlineMs + LATE_ANSWER_MS + SLACK_MS;
        wheel.schedule(clock.nowMs() + judgedAfterMs, () -> judge(job));
    }

    // ---- judging ----

    /** Judges the jobs that are left at the end of the run. */
    void judgeAll() {
        Set.copyOf(unjudged).forEach(this::judge);
    }

    /** Judges a job once its time is over, or looks it up if it is in the background and no worker got it. */
    private void judge(GearmanJob job) {
        if (!unjudged.remove(job)) {
            return;
        }
        if (job.runs > 0 && job.background || job.answered()) {
            oracle.count("gearman.judged");
            checkInTime(job);
            return;
        }
        String reason = freeReason(job);
        if (reason != null) {
            oracle.count("gearman.free." + reason);
        } else if (job.background && job.taken()) {
            new Lookup(job);
        } else {
            String state = job.taken() ? "taken at " + Math.round(job.takenAt) : "never taken";
            oracle.recordViolation(
                    Oracle.Rule.LOST,
                    job + ", " + state + ", has no answer, connection ended at " + Math.round(job.connectionEndedAt));
        }
    }

    private void checkInTime(GearmanJob job) {
        if (!job.background && job.answeredAt > job.sentAt + job.deadlineMs + LATE_ANSWER_MS + SLACK_MS) {
            oracle.recordViolation(Oracle.Rule.LOST, job + " answered only at " + Math.round(job.answeredAt));
        }
    }

    /** Returns why a job without its end breaks no rule, or null if it does. */
    private static String freeReason(GearmanJob job) {
        SchedulerRun run = job.schedulerRun;
        if (run.hasEnded()) {
            return "process_ended"; // jobs that are not covered are lost with their process
        }
        if (run.wasTerminated()) {
            return "process_ends";
        }
        if (run.connectionsMayBreak) {
            return "connections_break";
        }
        return job.submitted ? null : "not_connected";
    }

    // ---- peers ----

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void forged(String what) {
        oracle.recordViolation(Oracle.Rule.FORGED, what);
    }

    /** A client that submits one job and waits for its end, or until it is taken if it is in the background. */
    private final class Client extends GearmanPeer {
        private final GearmanJob job;

        Client(GearmanJob job) {
            super(loop, job.schedulerRun.gearman, oracle);
            this.job = job;
        }

        @Override
        public void opened() {
            job.submitted = true;
            send(
                    job.background ? Type.SUBMIT_JOB_BG : Type.SUBMIT_JOB,
                    job.function.functionName(),
                    job.data,
                    job.data);
        }

        @Override
        void onPacket(Packet packet) {
            switch (packet.type()) {
                case JOB_CREATED -> {
                    job.takenAt = clock.nowMs();
                    job.handle = packet.text(0);
                    if (job.background) {
                        close();
                    }
                }
                case ERROR -> {
                    oracle.count("gearman.error." + packet.text(0));
                    end();
                }
                case WORK_COMPLETE -> {
                    String result = StandardCharsets.US_ASCII
                            .decode(packet.arguments().get(1).duplicate())
                            .toString();
                    if (!result.equals(job.result())) {
                        forged(job + " was answered with " + result.substring(0, Math.min(60, result.length())));
                    }
                    oracle.count("gearman.served");
                    end();
                }
                case WORK_FAIL, WORK_EXCEPTION -> {
                    oracle.count("gearman.failed");
                    end();
                }
                default -> {
                    // progress and warnings decide nothing
                }
            }
        }

        private void end() {
            job.answeredAt = clock.nowMs();
            close();
        }

        @Override
        void onEnded() {
            job.connectionEndedAt = clock.nowMs();
        }
    }

    /** Asks whether the scheduler knows a background job that was taken and that no worker got. */
    private final class Lookup extends GearmanPeer {
        private final GearmanJob job;

        Lookup(GearmanJob job) {
            super(loop, job.schedulerRun.gearman, oracle);
            this.job = job;
        }

        @Override
        public void opened() {
            send(Type.GET_STATUS, job.handle);
        }

        @Override
        void onPacket(Packet packet) {
            boolean known = packet.text(1).equals("1");
            if (job.runs == 0 && !known && freeReason(job) == null) {
                oracle.recordViolation(
                        Oracle.Rule.LOST,
                        job + " was taken at " + Math.round(job.takenAt) + ", never ran, and is not known any more");
            } else {
                oracle.count(known ? "gearman.waiting" : "gearman.judged");
            }
            close();
        }

        @Override
        void onEnded() {
            oracle.count("gearman.free.not_looked_up");
        }
    }

    /** A worker of one function, which runs one job at a time and connects again for as long as its process serves. */
    private final class Worker extends GearmanPeer {
        private final SchedulerRun run;
        private final GearmanFunction function;

        Worker(SchedulerRun run, GearmanFunction function) {
            super(loop, run.gearman, oracle);
            this.run = run;
            this.function = function;
        }

        @Override
        public void opened() {
            send(Type.CAN_DO, function.functionName());
            send(Type.GRAB_JOB_UNIQ);
        }

        @Override
        void onPacket(Packet packet) {
            switch (packet.type()) {
                case NOOP -> send(Type.GRAB_JOB_UNIQ);
                case NO_JOB -> send(Type.PRE_SLEEP);
                case JOB_ASSIGN_UNIQ -> run(packet);
                default -> forged("a worker of " + function.functionName() + " got " + packet.type());
            }
        }

        private void run(Packet packet) {
            String handle = packet.text(0);
            String data = packet.text(3);
            GearmanJob job = jobs.get(data);
            if (job == null || job.function != function || !packet.text(1).equals(function.functionName())) {
                forged("a worker of " + function.functionName() + " was told to run " + packet.text(1) + " with " + data
                        + ", which no client of it sent");
            } else {
                job.runs++;
                if (job.runs > 1) {
                    oracle.recordViolation(Oracle.Rule.DUPLICATE, job + " ran " + job.runs + " times");
                }
            }
            wheel.schedule(clock.nowMs() + random.nextDouble() * MAX_SERVICE_MS, () -> {
                send(Type.WORK_COMPLETE, handle, ascii(function.resultOf(data)));
                send(Type.GRAB_JOB_UNIQ);
            });
        }

        @Override
        void onEnded() {
            if (!run.hasEnded() && !run.wasTerminated()) {
                wheel.schedule(clock.nowMs() + RECONNECT_MS, () -> new Worker(run, function));
            }
        }
    }
}
