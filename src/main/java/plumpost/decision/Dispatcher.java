package plumpost.decision;

import java.util.BitSet;
import java.util.List;

/**
 * The decisions of one dispatcher: the host reports events, and the dispatcher answers with actions through
 * {@link Actions}.
 *
 * <p>An instance is not thread-safe: its host makes one call at a time. Instances share no state. Every event carries
 * the current time, in milliseconds since an arbitrary start, and time never runs backwards. Equal settings, seed and
 * events give equal actions. The host reports the end of each attempt exactly once, delivers timers at or after their
 * time, and lists a worker before it reports anything about it. Events about unknown jobs or workers are ignored.
 */
public interface Dispatcher {

    /** Whether a job may run more than once: always, within a group of workers and a time, or never. */
    enum Effect {
        FREE,
        GUARDED,
        SINGLE_SHOT
    }

    /** The group of workers that drops repeats of a {@link Effect#GUARDED} job which one of them has received. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** The listed state of a worker; DRAINING and DELETED workers get no new attempts. */
    enum Phase {
        SERVING,
        DRAINING,
        DELETED
    }

    /** What a worker-list event carries: changes, a complete list, a complete list stored earlier, or a failed call. */
    enum ListMode {
        INCREMENTAL,
        FULL,
        SAVED,
        FAILED
    }

    /** How load reports arrive: never, with probe results, or with both outcomes and probe results. */
    enum Reports {
        SILENT,
        PULL,
        PIGGYBACK
    }

    /** How an attempt or a probe ended. */
    enum Ending {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT;

        /** True if this ending proves that the job never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    /**
     * A class of jobs. An answer is in time {@code aimMs} plus {@code aimStretch} times the job's run time after arrival.
     *
     * @param windowMs how long a group of workers drops repeats of a {@link Effect#GUARDED} job
     * @param lateWorth the part of its worth that an answer keeps when it is late
     * @param kind the only kind of worker that may run these jobs, or a negative number for any
     */
    record JobClass(
            String name,
            double aimMs,
            double aimStretch,
            double deadlineMs,
            Effect effect,
            Scope scope,
            double windowMs,
            double importance,
            double lateWorth,
            int kind,
            int priority) {}

    /** A tenant's agreed rate in jobs per second over all dispatchers, and its share of the service. */
    record Tenant(String name, double quotaPerS, double share) {}

    /** What the deployment allows dispatchers to do, with limits in numbers and milliseconds. */
    record Limits(
            int maxAttempts,
            boolean parallelTries,
            boolean cancelling,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfterMs,
            double dialTimeoutMs,
            double keepaliveMs) {}

    /** The parameters of the rules on answers, drains and cold workers; see docs/design.md. */
    record Rules(
            double coldFrom,
            double coldMs,
            double fallMs,
            double fallMultiple,
            double graceToAnswerMs,
            double mustAskInMs,
            double stopSendingWithinMs) {}

    /** Costs of crossing zones, connections, probes, peer bytes, late failures and waste, as shares of a result's worth. */
    record Fees(double crossZone, double handshake, double probe, double peer, double lateFail, double waste) {}

    /**
     * The configuration of an instance.
     *
     * @param balancers the number of dispatchers that share the workers
     * @param minTimeLeftMs no attempt begins with less time than this left to the client, since it might begin after the
     *     client has left
     */
    record Settings(
            int balancers,
            int index,
            int zone,
            int zones,
            int kinds,
            List<JobClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Fees fees,
            Reports reports,
            boolean reportsFreeSlots,
            boolean listOnRequest,
            boolean tellsStart,
            double progressMs,
            boolean worthByWork,
            double overShareWorth,
            double granularityMs,
            double minTimeLeftMs) {
        /** Number of classes that one process may know, over all settings that it is given; bounds its memory. */
        public static final int MAX_CLASSES = 1024;

        /** Number of tenants that new settings may have without a restart, if there were fewer at the start. */
        public static final int MAX_TENANTS = 1024;

        /** Checks the settings; throws {@link IllegalArgumentException} with the name of an illegal one. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(!classes.isEmpty(), "classes must not be empty");
            require(
                    classes.size() <= MAX_CLASSES,
                    "classes must not be more than " + MAX_CLASSES + ", not " + classes.size());
            require(balancers >= 1, "balancers must be at least 1");
            require(zones >= 1 && kinds >= 1, "zones and kinds must be at least 1");
            require(limits.maxAttempts() >= 1, "maxAttempts must be at least 1");
            require(granularityMs >= 0 && progressMs >= 0, "granularityMs and progressMs must not be negative");
            for (JobClass jobClass : classes) {
                require(
                        jobClass.effect() != null && jobClass.scope() != null,
                        "effect and scope of class " + jobClass.name() + " must be set");
                require(
                        jobClass.aimMs() >= 0
                                && jobClass.deadlineMs() > 0
                                && jobClass.windowMs() >= 0
                                && jobClass.aimStretch() >= 0,
                        "times of class " + jobClass.name()
                                + " must not be negative, and its deadline must be positive");
            }
            require(
                    rules.coldMs() >= 0
                            && rules.fallMs() >= 0
                            && rules.graceToAnswerMs() >= 0
                            && rules.mustAskInMs() >= 0,
                    "times of the rules must not be negative");
        }

        /** Returns the same settings with another own zone and other classes. */
        public Settings with(int newZone, List<JobClass> newClasses) {
            return new Settings(
                    balancers,
                    index,
                    newZone,
                    zones,
                    kinds,
                    newClasses,
                    tenants,
                    limits,
                    rules,
                    fees,
                    reports,
                    reportsFreeSlots,
                    listOnRequest,
                    tellsStart,
                    progressMs,
                    worthByWork,
                    overShareWorth,
                    granularityMs,
                    minTimeLeftMs);
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException("illegal settings: " + message);
            }
        }
    }

    /**
     * An entry of the worker list. A worker with {@code knownSlots} runs that many jobs at once and takes them from this
     * dispatcher alone: its free slots are known without a probe, and its report that a job failed ends the job.
     *
     * @param cameUpMs when the worker process last started, or 0 for long ago
     * @param workKinds the kinds of work that it runs, or null if it runs the work of every class and nothing else
     * @param knownSlots the number of jobs that it runs at once, or 0 if that is not known
     */
    record WorkerEntry(
            String id,
            int zone,
            int kind,
            int cell,
            Phase phase,
            double units,
            double cameUpMs,
            BitSet workKinds,
            int knownSlots) {
        /** Creates an entry for a worker that runs jobs of every class and whose number of slots is not known. */
        public WorkerEntry(String id, int zone, int kind, int cell, Phase phase, double units, double cameUpMs) {
            this(id, zone, kind, cell, phase, units, cameUpMs, null, 0);
        }

        /** Whether the worker runs a kind of work, in a deployment with the given number of classes. */
        public boolean runsWork(int work, int classes) {
            return workKinds == null ? work < classes : workKinds.get(work);
        }
    }

    /**
     * A job taken from a client.
     *
     * @param patienceMs time until the client's deadline
     * @param costMs estimated run time, or NaN if unknown
     * @param slots slots that the job occupies on its worker
     * @param memory memory that the job needs, or NaN if unknown
     * @param workKind the kind of work: the index of the class, or a number above all classes for work that only those
     *     workers run that name it
     * @param priority above 0 goes before jobs of the same age, below 0 after them
     * @param aimMs time from now within which the answer is wanted, or NaN if the class determines it
     */
    record Job(
            String id,
            int classIndex,
            int tenant,
            String key,
            double patienceMs,
            double costMs,
            double slots,
            double memory,
            boolean retry,
            int workKind,
            int priority,
            double aimMs) {
        /** Creates a job of its class's own work, with default priority and target time. */
        public Job(
                String id,
                int classIndex,
                int tenant,
                String key,
                double patienceMs,
                double costMs,
                double slots,
                double memory,
                boolean retry) {
            this(id, classIndex, tenant, key, patienceMs, costMs, slots, memory, retry, classIndex, 0, Double.NaN);
        }
    }

    /** The load that a worker reports about itself; NaN for values that it does not report. */
    record LoadReport(
            double inflight, double queue, double latencyMs, double errorsPerS, double freeSlots, double freeMemory) {}

    /** How an attempt ended; {@code requestDone} if the client needs no further answer. */
    record Outcome(
            String job,
            int attempt,
            String worker,
            Ending ending,
            double waitMs,
            boolean requestDone,
            LoadReport report) {}

    /** Handles a change or a complete list of the workers, or a failed list call. */
    void onWorkerList(double now, ListMode mode, List<WorkerEntry> entries);

    /** Handles a new job; it gets one final answer. */
    void onJobArrived(double now, Job job);

    /** Records that a worker has started to run an attempt's job. */
    void onAttemptStarted(double now, String job, int attempt, String worker);

    /** Records which share, 0 to 1, of an attempt's job is done. */
    void onAttemptProgress(double now, String job, int attempt, String worker, double share);

    /** Records that an attempt's answer is being streamed to the client, which makes this attempt the answer. */
    void onAnswerStreaming(double now, String job, int attempt, String worker);

    /** Handles the end of an attempt. */
    void onAttemptEnded(double now, Outcome outcome);

    /** Drops a job whose client is gone; the job needs no answer any more. */
    void onClientGone(double now, String job);

    /** Handles a timer that {@link Actions#requestTimer} requested. */
    void onTimer(double now, long token);

    /** Handles the result of a probe; {@code report} may be null. */
    void onProbeResult(double now, String worker, Ending ending, double waitMs, LoadReport report);

    /** Receives a message from another dispatcher. It is ignored, since dispatchers share no state. */
    void onPeerMessage(double now, int from, byte[] bytes);

    /**
     * Applies new settings. Classes of the old settings keep their numbers and new ones are added after them; open jobs
     * keep the class that they arrived with.
     */
    default void applySettings(double now, Settings next) {}

    /** The number of serving workers that get no jobs for now, for example because of failures; used for the counters. */
    default int ejectedWorkers(double now) {
        return 0;
    }

    /** The actions that an instance asks its host to carry out, in the order of the calls. */
    interface Actions {
        /** Starts the job's next attempt (numbered from 0) on a worker; a timeout of 0 ms means none. */
        void assign(String job, String worker, double timeoutMs);

        /** Gives the final answer that the job was not accepted; the client may safely repeat it after the given time. */
        void refuse(String job, double retryAfterMs);

        /** Gives the final answer that the job failed; it may have run. */
        void fail(String job);

        /** Cancels an attempt; its end is still reported. */
        void cancel(String job, int attempt);

        /** Probes a worker for whether it responds and, where supported, for its load report. */
        void probe(String worker);

        /** Requests a call of {@link Dispatcher#onTimer} at or after a time. */
        void requestTimer(double atMs, long token);

        /** Requests the worker list and its changes. */
        void requestWorkerList();

        /** Writes a log line for the operator. */
        void log(String message);
    }
}
