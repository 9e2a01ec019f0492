package plumpost.gearman;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.Probe;
import plumpost.gearman.FunctionTable.Function;
import plumpost.gearman.Packet.Type;
import plumpost.time.TimerWheel;

/**
 * The worker's side of a connection, which the core sees as a route node. Attempts that the core sends are queued until
 * the worker grabs them. An attempt that was not grabbed never ran; one that was grabbed before the worker disconnects
 * may have run. The node is listed from the worker's first grab or sleep on. It is reported as draining while the
 * worker still runs a job that was given up, and after it has not grabbed a job that it was woken for.
 */
final class WorkerSession implements NodeLink {
    /** A worker must grab a job within this time after it was woken, or its queued attempts go elsewhere. */
    private static final double GRAB_TIMEOUT_MS = 1_000;

    private final GearmanFront front;
    private final GearmanConnection connection;
    private final String id;
    /** The functions that the worker can do, each with the worker's own time limit; 0 means none. */
    private final Map<Function, Double> timeoutsMs = new LinkedHashMap<>(4);

    private final ArrayDeque<Attempt> queued = new ArrayDeque<>(2);
    private double upSinceMs = Double.NaN;
    private Attempt running;
    private String assignedHandle;
    private boolean busy;
    private boolean asleep;
    /** The type of the grab that has no answer yet, or null. */
    private Type openGrab;

    private TimerWheel.Timer noJobTimer;
    private boolean ready;
    private boolean listed;
    /** Gets no jobs for now, since the worker left a job ungrabbed. */
    private boolean withheld;

    private boolean lost;
    private Phase reportedPhase = Phase.DELETED;
    private TimerWheel.Timer grabTimer;

    WorkerSession(GearmanFront front, GearmanConnection connection) {
        this.front = front;
        this.connection = connection;
        this.id = "gearman-" + front.newId();
    }

    Collection<Function> functions() {
        return timeoutsMs.keySet();
    }

    /** Reports the node's functions and phase to the core; does nothing before the worker is ready for the first time. */
    private void reportNode() {
        if (!listed && (!ready || timeoutsMs.isEmpty() || lost)) {
            return;
        }
        listed = true;
        BitSet kinds = new BitSet();
        timeoutsMs.keySet().forEach(function -> kinds.set(function.kind.number()));
        reportedPhase = lost
                ? Phase.DELETED
                : timeoutsMs.isEmpty() || withheld || busy && running == null ? Phase.DRAINING : Phase.SERVING;
        front.reportNode(new ListedNode(
                new WorkerEntry(
                        id, front.config.plant(), front.config.model(), 0, reportedPhase, 1, upSinceMs, kinds, 1),
                this));
    }

    /** Reports the node again if it has begun or ceased to accept new jobs. */
    private void reportNodeIfChanged() {
        boolean canServe = !timeoutsMs.isEmpty() && !withheld && !(busy && running == null);
        if (listed && !lost && canServe != (reportedPhase == Phase.SERVING)) {
            reportNode();
        }
    }

    /** Lists the node on the worker's first grab or sleep; after a delay if it left jobs ungrabbed before. */
    private void onReady() {
        if (!ready) {
            ready = true;
            upSinceMs = front.workerHistory.onReady(
                    connection.clientId(),
                    connection.connectedAtMs(),
                    front.context.clock().nowMs());
            double delayMs = front.workerHistory.delayMs(connection.clientId());
            if (delayMs > 0) {
                front.context.counters().count("gearman.flapping");
                withheld = true;
                front.context.wheel().schedule(front.context.clock().nowMs() + delayMs, () -> {
                    withheld = false;
                    if (!lost) {
                        reportNode();
                    }
                });
            } else {
                reportNode();
            }
        }
    }

    void onPacket(Packet packet) {
        switch (packet.type()) {
            case CAN_DO, CAN_DO_TIMEOUT -> addFunction(packet);
            case CANT_DO -> removeFunction(front.functions.findExisting(packet.text(0)));
            case RESET_ABILITIES -> List.copyOf(timeoutsMs.keySet()).forEach(this::removeFunction);
            case PRE_SLEEP -> {
                answerNoJob(); // a sleeping worker no longer waits for a job
                asleep = true;
                onReady();
                wake();
            }
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> onGrab(packet.type());
            case WORK_STATUS -> onStatus(packet);
            case WORK_DATA -> {
                if (acceptReport(packet, false)) {
                    running.part(packet.arguments().get(1));
                }
            }
            case WORK_WARNING -> {
                if (acceptReport(packet, false)) {
                    running.warned(packet.arguments().get(1));
                }
            }
            case WORK_COMPLETE -> {
                if (acceptReport(packet, true)) {
                    clearRunning().served(packet.arguments().get(1), null);
                } else if (front.fleetOrders != null) {
                    front.fleetOrders.reportLateResult(
                            packet.text(0), packet.arguments().get(1));
                }
            }
            case WORK_EXCEPTION -> {
                if (acceptReport(packet, true)) {
                    clearRunning().failed(packet.arguments().get(1), null);
                }
            }
            default -> { // WORK_FAIL
                if (acceptReport(packet, true)) {
                    clearRunning().ended(Ending.ERROR, null);
                }
            }
        }
    }

    private void addFunction(Packet packet) {
        double timeoutS = 0;
        if (packet.type() == Type.CAN_DO_TIMEOUT) {
            if (!packet.text(1).matches("[0-9]{1,9}")) {
                connection.error("malformed", "CAN_DO_TIMEOUT without a number of seconds");
                return;
            }
            timeoutS = Long.parseLong(packet.text(1));
        }
        Function function = front.functions.findOrAdd(packet.text(0));
        if (function == null) {
            boolean full = front.functions.isFull();
            front.context.counters().count(full ? "gearman.not.functions" : "gearman.unknown_function");
            if (full) { // the worker would wait in vain for jobs of this function
                connection.write(
                        Type.ERROR,
                        "functions",
                        packet.text(0) + ": limits.functions " + front.functions.maxFunctions() + " is used up");
            }
            return;
        }
        if (timeoutsMs.put(function, timeoutS * 1000) == null) {
            function.workers++;
            reportNode();
        }
    }

    /** Removes a function; queued attempts of it that the worker has not grabbed go back to the core unstarted. */
    private void removeFunction(Function function) {
        if (function != null && timeoutsMs.remove(function) != null) {
            function.workers--;
            reportNode();
            for (Attempt attempt : List.copyOf(queued)) {
                if (attempt.spec().work().kind().equals(function.kind)) {
                    queued.remove(attempt);
                    attempt.ended(Ending.FULL, null);
                }
            }
        }
    }

    /**
     * Whether a packet is about the job that runs here; a final one makes the worker free. Packets about a job that
     * was given up, or about any other, are counted as stale and must be dropped.
     */
    private boolean acceptReport(Packet packet, boolean ends) {
        boolean assigned = packet.text(0).equals(assignedHandle);
        boolean current = assigned && running != null;
        if (assigned && ends) {
            assignedHandle = null;
            busy = false;
            front.workerHistory.clearMissedGrabs(connection.clientId());
            reportNodeIfChanged();
        }
        if (!current) {
            front.context.counters().count("gearman.stale");
        }
        return current;
    }

    private void onStatus(Packet packet) {
        if (!packet.text(1).matches("[0-9.]{1,18}") || !packet.text(2).matches("[0-9.]{1,18}")) {
            connection.error("malformed", "WORK_STATUS without numbers");
        } else if (acceptReport(packet, false)) {
            try {
                double denominator = Double.parseDouble(packet.text(2));
                running.progressed(denominator > 0 ? Math.min(1, Double.parseDouble(packet.text(1)) / denominator) : 0);
            } catch (NumberFormatException e) {
                connection.error("malformed", "WORK_STATUS without numbers");
            }
        }
    }

    private Attempt clearRunning() {
        Attempt attempt = running;
        running = null;
        return attempt;
    }

    private void onGrab(Type type) {
        asleep = false;
        answerNoJob();
        if (grabTimer != null) {
            grabTimer.cancel();
            grabTimer = null;
        }
        if (assignedHandle != null) {
            // The worker grabs again without having finished its job, so it no longer works on it.
            Attempt attempt = clearRunning();
            assignedHandle = null;
            if (attempt != null) {
                attempt.ended(Ending.RESET, null);
            }
        }
        busy = false;
        withheld &= !listed; // the grab shows that the worker is alive; a delay before its first listing goes on
        onReady();
        reportNodeIfChanged();
        openGrab = type;
        answerGrab();
        if (openGrab != null && front.config.grabHoldMs() > 0) {
            // Holds the answer back: a job that arrives in this time needs no sleep and no wake-up.
            noJobTimer = front.context
                    .wheel()
                    .schedule(front.context.clock().nowMs() + front.config.grabHoldMs(), this::answerNoJob);
        } else {
            answerNoJob();
        }
    }

    /** Answers an open grab with the first queued attempt, if there is one. */
    private void answerGrab() {
        Attempt attempt = openGrab == null ? null : queued.poll();
        if (attempt == null) {
            return;
        }
        Type type = openGrab;
        if (attempt.spec().work().reducer() != null && type != Type.GRAB_JOB_ALL) {
            // Only JOB_ASSIGN_ALL carries the reducer's name; without it the worker would run a different job.
            front.context.counters().count("gearman.reducer_not_grabbed");
            answerNoJob();
            attempt.ended(Ending.FULL, null);
            return;
        }
        openGrab = null;
        if (noJobTimer != null) {
            noJobTimer.cancel();
        }
        assign(type, attempt);
    }

    /** Answers an open grab with NO_JOB. */
    private void answerNoJob() {
        if (openGrab != null) {
            openGrab = null;
            connection.write(Type.NO_JOB);
        }
        if (noJobTimer != null) {
            noJobTimer.cancel();
            noJobTimer = null;
        }
    }

    /** Assigns an attempt to the worker, in the packet that answers its type of grab. */
    private void assign(Type type, Attempt attempt) {
        JobSpec request = attempt.spec();
        running = attempt;
        busy = true;
        if (grabTimer != null) { // else it would fire during a later sleep
            grabTimer.cancel();
            grabTimer = null;
        }
        assignedHandle = front.handleOf(request.id());
        Function function = front.functions.get(request.work().kind());
        String unique = request.work().unique() == null ? "" : request.work().unique();
        switch (type) {
            case GRAB_JOB -> connection.write(Type.JOB_ASSIGN, assignedHandle, function.name, request.body());
            case GRAB_JOB_UNIQ ->
                connection.write(Type.JOB_ASSIGN_UNIQ, assignedHandle, function.name, unique, request.body());
            default ->
                connection.write(
                        Type.JOB_ASSIGN_ALL,
                        assignedHandle,
                        function.name,
                        unique,
                        request.work().reducer() == null ? "" : request.work().reducer(),
                        request.body());
        }
        attempt.fullySent(); // the connection has the whole job, and delays its write to the end of the loop's turn at
        // most
        double timeoutMs = timeoutsMs.getOrDefault(function, 0.0);
        if (timeoutMs > 0) {
            front.context.wheel().schedule(front.context.clock().nowMs() + timeoutMs, () -> {
                if (running == attempt) {
                    running = null;
                    reportNodeIfChanged();
                    attempt.ended(Ending.TIMEOUT, null);
                }
            });
        }
        attempt.started();
    }

    /** Answers an open grab or wakes the worker if attempts are queued, and starts the timer for its grab. */
    private void wake() {
        if (queued.isEmpty() || busy || lost) {
            return;
        }
        if (openGrab != null) {
            answerGrab();
            return;
        }
        if (asleep) {
            asleep = false;
            connection.write(Type.NOOP);
        }
        if (grabTimer == null) {
            grabTimer = front.context
                    .wheel()
                    .schedule(front.context.clock().nowMs() + GRAB_TIMEOUT_MS, this::onGrabTimeout);
        }
    }

    /** The worker was woken and has not grabbed in time: reports it as draining and returns its queued attempts. */
    private void onGrabTimeout() {
        grabTimer = null;
        if (!busy) {
            front.context.counters().count("gearman.not_grabbed");
            front.workerHistory.countMissedGrab(connection.clientId());
            withheld = true;
            reportNodeIfChanged();
            returnQueued();
        }
    }

    /** Ends the queued attempts as never started, so that the core can send them elsewhere. */
    private void returnQueued() {
        for (Attempt attempt = queued.poll(); attempt != null; attempt = queued.poll()) {
            attempt.ended(Ending.CONNECT_FAILED, null);
        }
    }

    /** The worker's connection has ended: deletes the node and ends its attempts. */
    void onDisconnected() {
        lost = true;
        if (grabTimer != null) {
            grabTimer.cancel();
        }
        if (!queued.isEmpty()) {
            front.workerHistory.countMissedGrab(connection.clientId());
        }
        if (ready) {
            front.workerHistory.onDisconnected(
                    connection.clientId(), front.context.clock().nowMs());
        }
        timeoutsMs.keySet().forEach(function -> function.workers--);
        reportNode();
        returnQueued();
        Attempt attempt = clearRunning();
        if (attempt != null) {
            attempt.ended(Ending.RESET, null);
        }
    }

    @Override
    public void send(Attempt attempt) {
        if (lost
                || reportedPhase != Phase.SERVING
                || !timeoutsMs.containsKey(
                        front.functions.get(attempt.spec().work().kind()))) {
            attempt.ended(Ending.FULL, null);
            return;
        }
        queued.add(attempt);
        wake();
    }

    @Override
    public void giveUp(Attempt attempt) {
        queued.remove(attempt);
        if (running == attempt) {
            running = null; // the protocol cannot cancel a running job: the worker stays busy until it has finished
            reportNodeIfChanged();
        }
    }

    @Override
    public void probe(Probe probe) {
        probe.ended(
                lost ? Ending.CONNECT_FAILED : Ending.OK,
                new LoadReport(
                        busy ? 1 : 0,
                        queued.size(),
                        Double.NaN,
                        Double.NaN,
                        1 - (busy ? 1 : 0) - queued.size(),
                        Double.NaN));
    }

    @Override
    public void closeIdle() {}
}
