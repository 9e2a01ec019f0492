package plumpost.gearman;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.Refusal;
import plumpost.gearman.FunctionTable.Function;
import plumpost.gearman.Packet.Type;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/** The client's side of a connection: its submissions, status requests and options, and the answers to them. */
final class ClientSession {
    private static final int MAX_UNIQUE_LENGTH = 1024;

    private final GearmanFront front;
    private final GearmanConnection connection;
    /** The foreground jobs that have no final packet yet. */
    private final Set<Submission> awaited = new LinkedHashSet<>();

    private int openBackgroundJobs;
    private boolean exceptions;
    private final AnswerOrder answerOrder;
    private final StatusLookup statusLookup;

    ClientSession(GearmanFront front, GearmanConnection connection, AnswerOrder answerOrder) {
        this.front = front;
        this.connection = connection;
        this.answerOrder = answerOrder;
        statusLookup = new StatusLookup(front);
    }

    /** Reads what the client has sent, which may show that it has disconnected; returns whether all of it was read. */
    boolean readAvailable() {
        return connection.readAvailable();
    }

    /** Returns whether the client has ended its connection, which it may have done right behind its request. */
    private boolean clientDisconnected() {
        connection.readAvailable();
        return connection.isClosed();
    }

    /** Returns how the client ended its connection. */
    String endReason() {
        return connection.connection.endReason();
    }

    /** Handles a packet, after those before it on its connection have been answered. */
    void onPacket(Packet packet) {
        switch (packet.type()) {
            case SUBMIT_JOB -> submit(packet, 2, null, 0, false);
            case SUBMIT_JOB_HIGH -> submit(packet, 2, null, 1, false);
            case SUBMIT_JOB_LOW -> submit(packet, 2, null, -1, false);
            case SUBMIT_JOB_BG -> submit(packet, 2, null, 0, true);
            case SUBMIT_JOB_HIGH_BG -> submit(packet, 2, null, 1, true);
            case SUBMIT_JOB_LOW_BG -> submit(packet, 2, null, -1, true);
            case SUBMIT_REDUCE_JOB -> submit(packet, 3, packet.text(2), 0, false);
            case SUBMIT_REDUCE_JOB_BACKGROUND -> submit(packet, 3, packet.text(2), 0, true);
            case SUBMIT_JOB_EPOCH -> submitAtEpoch(packet);
            case SUBMIT_JOB_SCHED -> submitAtCalendarTime(packet);
            case GET_STATUS -> writeStatus(packet);
            case GET_STATUS_UNIQUE -> writeStatusByUnique(packet);
            default -> setOption(packet);
        }
    }

    private void setOption(Packet packet) {
        if (packet.text(0).equals("exceptions")) {
            exceptions = true;
            connection.write(Type.OPTION_RES, "exceptions");
        } else {
            connection.write(Type.ERROR, "unknown_option", packet.text(0));
        }
    }

    boolean exceptions() {
        return exceptions;
    }

    private void writeStatus(Packet packet) {
        StatusLookup.JobStatus status = statusLookup.byHandle(packet.text(0));
        connection.write(
                Type.STATUS_RES,
                packet.arguments().get(0),
                status.known() ? 1 : 0,
                status.running() ? 1 : 0,
                status.done(),
                status.total());
    }

    private void writeStatusByUnique(Packet packet) {
        StatusLookup.JobStatus status = statusLookup.byUniqueKey(packet.text(0));
        connection.write(
                Type.STATUS_RES_UNIQUE,
                packet.arguments().get(0),
                status.known() ? 1 : 0,
                status.running() ? 1 : 0,
                status.done(),
                status.total(),
                status.clients());
    }

    /** The key under which the core and the schedule know a client's unique key: a function has its own keys. */
    static String uniqueKey(Function function, String unique) {
        return function.name + '\0' + unique;
    }

    // ---- submitting ----

    /** Counts and answers a rejected job with an ERROR packet; the connection stays open. */
    private void reject(String code, String message) {
        front.context.counters().count("gearman.not." + code);
        connection.write(Type.ERROR, code, message);
    }

    /** Makes the job of a packet whose data is the given argument, or rejects it and returns null. */
    private JobSpec newJobRequest(Packet packet, int dataIndex, String reducer, int priority, boolean inBackground) {
        String name = packet.text(0);
        Function function = front.functions.findOrAdd(name);
        if (function == null) {
            if (front.functions.isFull()) {
                reject("functions", name + ": limits.functions " + front.functions.maxFunctions() + " is used up");
            } else {
                reject("unknown_function", name);
            }
            return null;
        }
        if (front.stopping()) {
            reject("stopping", "this scheduler takes no more jobs");
            return null;
        }
        int classNumber = function.hasClass() ? front.core.findOfferedClass(function.className()) : -1;
        if (classNumber < 0) {
            reject(
                    "unknown_function",
                    name + ": its class " + function.className() + " is not in the settings any more");
            return null;
        }
        ByteBuffer data = packet.arguments().get(dataIndex);
        String unique = packet.text(1);
        if (unique.length() > MAX_UNIQUE_LENGTH) {
            reject("unique_too_long", "a unique key of more than " + MAX_UNIQUE_LENGTH + " characters");
            return null;
        }
        String clientKey = unique.equals("-") ? digestOf(data) : unique;
        double patienceMs = inBackground
                ? front.config.backgroundMs()
                : front.core.settings().classes().get(classNumber).deadlineMs();
        return new JobSpec(
                front.newId(),
                classNumber,
                null,
                data,
                patienceMs,
                Double.NaN,
                1,
                Double.NaN,
                0,
                null,
                false,
                clientKey.isEmpty() ? null : uniqueKey(function, clientKey),
                new JobSpec.Work(
                        function.kind,
                        function.name,
                        clientKey.isEmpty() ? null : clientKey,
                        reducer,
                        priority,
                        inBackground ? patienceMs : Double.NaN));
    }

    private void submit(Packet packet, int dataIndex, String reducer, int priority, boolean inBackground) {
        JobSpec request = newJobRequest(packet, dataIndex, reducer, priority, inBackground);
        if (request == null) {
            return;
        }
        if (isCovered(request)) {
            submitOrder(request, inBackground);
            return;
        }
        Schedule.Entry scheduled = request.unique() == null ? null : front.schedule.findByUnique(request.unique());
        if (scheduled != null && !inBackground) {
            // The same job is scheduled: it must neither run twice nor before the time that its first client asked for.
            reject(
                    "scheduled",
                    front.handleOf(scheduled.request().id()) + " is to run at " + Math.round(scheduled.atMs() / 1000));
            return;
        }
        if (scheduled != null) {
            connection.write(
                    Type.JOB_CREATED, front.handleOf(scheduled.request().id()));
            return;
        }
        Fleet.Job planned = front.fleetJobs == null ? null : front.fleetJobs.findByKey(request);
        if (planned != null && (request.unique() == null || front.core.findJobByUniqueKey(request.unique()) == null)) {
            answerPlanned(planned, inBackground);
            return;
        }
        if (!front.core.joinsKnownJob(request) && rejectIfFull(request)) {
            return;
        }
        if (!inBackground && clientDisconnected()) {
            front.context.counters().count("gearman.gone_before");
            return;
        }
        Submission submission = inBackground
                ? new BackgroundSubmission(front, request)
                : new Submission(this, front.handleOf(request.id()));
        awaited.add(submission);
        OpenJob openJob = front.core.submit(request, submission);
        if (openJob != null) {
            submission.handle = front.handleOf(openJob.spec().id());
        }
        submission.openJob = openJob;
        if (inBackground && submission.isRefused()) { // nobody would hear of the refusal after JOB_CREATED
            awaited.remove(submission);
            reject("full", "the job was refused; try again after 1000 ms");
            return;
        }
        submission.announce(connection);
        if (inBackground && awaited.remove(submission) && openJob != null && !submission.isDone()) {
            openBackgroundJobs++;
            submission.whenDone(() -> openBackgroundJobs--);
        }
    }

    /** Answers a client whose job under the same key is scheduled with the fleet: it must neither run twice nor earlier. */
    private void answerPlanned(Fleet.Job planned, boolean inBackground) {
        if (inBackground) {
            connection.write(Type.JOB_CREATED, planned.id());
        } else if (front.fleetJobs.fleet().fired(planned.id())) {
            reject("scheduled", planned.id() + " runs at another scheduler");
        } else {
            rejectScheduled(planned.id(), planned.atMs());
        }
    }

    private void rejectScheduled(String handle, double startMs) {
        reject("scheduled", handle + " is to run at " + Math.round(startMs / 1000));
    }

    private boolean isCovered(JobSpec request) {
        return front.fleetOrders != null && front.fleetOrders.covers(request);
    }

    private void submitOrder(JobSpec request, boolean inBackground) {
        submitOrder(request, inBackground, 0);
    }

    /**
     * Submits a covered order that starts at a Unix time in milliseconds, or at once if it is 0. The client is answered once the
     * fleet's ledger has accepted the order; a resubmitted order joins the existing one or gets its outcome.
     */
    private void submitOrder(JobSpec request, boolean inBackground, double startMs) {
        Ledger.OrderStatus existing =
                front.fleetOrders.find(request.work().name(), request.work().unique());
        // Before all members knew of start times, scheduled orders were planned jobs of the fleet.
        Fleet.Job planned = front.fleetJobs.findByKey(request);
        if (existing != null) {
            joinOrder(existing.id(), request.patienceMs(), inBackground);
        } else if (planned != null) {
            answerPlanned(planned, inBackground);
        } else if (startMs > 0 || !rejectIfFull(request.withoutUniqueKey())) { // the ledger keeps its outcome
            answerOrder.awaitAnswer();
            double submittedAtMs = front.context.clock().nowMs();
            front.fleetOrders.submit(request, inBackground, startMs, answer -> {
                if (answer.agreed()) {
                    double elapsedMs = front.context.clock().nowMs() - submittedAtMs;
                    joinOrder(answer.detail(), request.patienceMs() - elapsedMs, inBackground);
                } else {
                    rejectByFleet(answer, request);
                }
                answerOrder.answered();
            });
        }
    }

    private void rejectByFleet(Fleet.Reply answer, JobSpec request) {
        boolean full =
                answer.result() == Fleet.Result.REFUSED && answer.detail().contains("full");
        reject(full ? "full" : "fleet", fleetError(answer, request));
    }

    /** Returns the text of an ERROR packet that says what is known of a job that the fleet has not agreed on. */
    private static String fleetError(Fleet.Reply answer, JobSpec request) {
        if (answer.result() != Fleet.Result.UNKNOWN) {
            return answer.detail();
        }
        return answer.detail()
                + (request.unique() == null
                        ? "; without a unique key it may run besides another submission"
                        : "; submit it again under the same unique key only");
    }

    /**
     * Answers JOB_CREATED and, for a foreground job, waits for the order's outcome for up to {@code patienceMs}. An order that
     * waits for its start time neither runs earlier nor answers in time, so that nobody can wait for it.
     */
    private void joinOrder(String handle, double patienceMs, boolean inBackground) {
        Ledger.OrderStatus order = front.fleetOrders.find(handle);
        if (!inBackground && order != null && front.fleetOrders.waitsForStart(order)) {
            rejectScheduled(handle, order.startMs());
            return;
        }
        Submission submission = new Submission(inBackground ? null : this, handle);
        submission.announce(connection);
        if (!inBackground) {
            awaited.add(submission);
            front.fleetOrders.await(submission, patienceMs);
        }
    }

    /** Rejects the job and returns true if a limit is reached; the ERROR packet names the limit. */
    private boolean rejectIfFull(JobSpec request) {
        Function function = front.functions.get(request.work().kind());
        int maxQueued = function.maxQueued[1 - request.work().priority()];
        long waitingAtPriority =
                front.core.tally(function.kind).waiting(request.work().priority());
        long waitingInAll = waitingAtPriority;
        for (int priority = -1; priority <= 1; priority++) {
            waitingInAll += priority == request.work().priority()
                    ? 0
                    : front.core.tally(function.kind).waiting(priority);
        }
        int maxPerClient = front.config.limits().jobsPerClient();
        int maxInQueue = front.config.limits().queue();
        Refusal refusal = front.core.findRefusal(request);
        if (maxQueued > 0 && waitingAtPriority >= maxQueued) {
            reject("queue_full", "maxqueue of " + function.name + " is " + maxQueued);
        } else if (maxInQueue > 0 && waitingInAll >= maxInQueue) {
            reject("queue_full", function.name + ": limits.queue is " + maxInQueue);
        } else if (awaited.size() + openBackgroundJobs >= maxPerClient) {
            reject("jobs_per_client", "limits.jobsPerClient is " + maxPerClient);
        } else if (refusal == Refusal.OPEN_JOBS) {
            reject("full", "limits.openJobs or limits.jobBytes is used up; try again after 1000 ms");
        } else if (refusal == Refusal.OUTCOMES) {
            reject("full", "limits.keptOutcomes or the memory for outcomes is used up; try again after 1000 ms");
        } else if (refusal == Refusal.TOO_LATE) {
            reject("too_late", Math.round(request.patienceMs()) + " ms are too little time for a job");
        } else {
            return false;
        }
        return true;
    }

    private void submitAtEpoch(Packet packet) {
        String seconds = packet.text(2);
        if (!seconds.matches("[0-9]{1,11}")) {
            reject("bad_time", "epoch is " + truncate(seconds) + ", not seconds");
        } else {
            submitScheduled(packet, 3, Long.parseLong(seconds) * 1000.0);
        }
    }

    private void submitAtCalendarTime(Packet packet) {
        try {
            submitScheduled(
                    packet,
                    7,
                    Schedule.nextTimeMs(
                            front.context.unixTime().nowMs(),
                            packet.text(2),
                            packet.text(3),
                            packet.text(4),
                            packet.text(5),
                            packet.text(6)));
        } catch (IllegalArgumentException | DateTimeException e) {
            reject("bad_time", truncate(e.getMessage()));
        }
    }

    private static String truncate(String text) {
        return text.length() > 80 ? text.substring(0, 80) : text;
    }

    private void submitScheduled(Packet packet, int dataIndex, double atMs) {
        JobSpec request = newJobRequest(packet, dataIndex, null, 0, true);
        if (request == null) {
            return;
        }
        if (isCovered(request) && front.fleetOrders.takesStartTimes()) {
            submitOrder(request, true, Math.max(1, atMs));
            return;
        }
        OpenJob openJob = request.unique() == null ? null : front.core.findJobByUniqueKey(request.unique());
        Schedule.Entry existing = request.unique() == null ? null : front.schedule.findByUnique(request.unique());
        String exhaustedLimit = front.schedule.exhaustedLimit(request.body().remaining());
        if (openJob != null) {
            connection.write(Type.JOB_CREATED, front.handleOf(openJob.spec().id())); // joins the open job
        } else if (existing != null) {
            connection.write(Type.JOB_CREATED, front.handleOf(existing.request().id()));
        } else if (front.fleetJobs != null) {
            answerOrder.awaitAnswer();
            front.fleetJobs.plan(request, atMs, answer -> {
                if (answer.agreed()) {
                    connection.write(Type.JOB_CREATED, answer.detail());
                } else {
                    reject(
                            answer.result() == Fleet.Result.REFUSED ? "schedule_full" : "fleet",
                            fleetError(answer, request));
                }
                answerOrder.answered();
            });
        } else if (exhaustedLimit != null) {
            reject("schedule_full", exhaustedLimit + " is used up");
        } else {
            front.scheduleJob(request, atMs);
            connection.write(Type.JOB_CREATED, front.handleOf(request.id()));
        }
    }

    /** Returns the key that {@code -} stands for: a digest of the data, which takes less memory than the data itself. */
    private static String digestOf(ByteBuffer data) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(data.duplicate());
            return "-" + HexFormat.of().formatHex(sha256.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has SHA-256
        }
    }

    // ---- calls of submissions and of the connection ----

    void write(Type type, Object... arguments) {
        connection.write(type, arguments);
    }

    void onDone(Submission submission) {
        awaited.remove(submission);
    }

    /** The client has disconnected: the core gives up jobs that only it waited for; covered orders go on. */
    void onDisconnected() {
        for (Submission submission : new ArrayList<>(List.copyOf(awaited))) {
            if (submission.openJob != null) {
                front.core.removeClient(submission.openJob, submission);
            } else if (front.fleetOrders != null) {
                front.fleetOrders.stopWaiting(submission);
            }
        }
    }
}
