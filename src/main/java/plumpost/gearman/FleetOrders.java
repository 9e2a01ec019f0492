package plumpost.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumpost.decision.Dispatcher.Effect;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.JobSpec;
import plumpost.dispatch.LeaseAuthority;
import plumpost.dispatch.OpenJob;
import plumpost.dispatch.Refusal;
import plumpost.dispatch.ReplyTo;
import plumpost.dispatch.WorkerResult;
import plumpost.gearman.FunctionTable.Function;
import plumpost.peers.Fleet;
import plumpost.peers.Ledger;

/**
 * The covered orders of one front. An order is in the fleet's ledger before its client gets JOB_CREATED. Orders that
 * this scheduler holds are in its core, and are sent to workers only under a lease. Waiting clients are answered from
 * the ledger, wherever the order ran. An order has the same handle at every scheduler.
 */
final class FleetOrders implements Ledger.Holder, LeaseAuthority {
    /** Orders of the fleet that this core holds at once; further orders stay with other schedulers or unassigned. */
    private static final int MAX_OPEN_ORDERS = 256;

    /** Time after which a client may resubmit an order that the ledger refused. */
    private static final double RETRY_AFTER_MS = 1000;
    /** Time beyond an order's patience in which the core's report that it expired can pass through the fleet's log. */
    private static final double OUTCOME_GRACE_MS = 100;

    /** The reason that a client with exceptions hears when its scheduler ends before its order. */
    private static final byte[] ENDS_TEXT =
            "this scheduler ends; the order may run or have run, and can be joined under its unique key at another"
                    .getBytes(StandardCharsets.US_ASCII);

    private final GearmanFront front;
    private final Ledger ledger;
    /** The covered orders in this core, by handle. */
    private final Map<String, OpenJob> openOrders = new HashMap<>();

    private final Map<String, Reply> replies = new HashMap<>();
    /** This scheduler ends soon: no client can wait for an outcome any more. */
    private boolean ending;

    /** The clients here that wait for an order's outcome, by the order's handle. */
    private final Map<String, List<Submission>> waitingByHandle = new HashMap<>();

    FleetOrders(GearmanFront front, Ledger ledger) {
        this.front = front;
        this.ledger = ledger;
        ledger.setHolder(this);
    }

    /** Whether the ledger covers the job's class. */
    boolean covers(JobSpec request) {
        return ledger.covers(front.classOf(request).name());
    }

    /** Whether a job in this core is a covered order, whose id is its handle. */
    boolean isOpen(String id) {
        return openOrders.containsKey(id);
    }

    /** The order with this handle, or null if the ledger does not know it. */
    Ledger.OrderStatus find(String id) {
        return ledger.status(id);
    }

    /** The order with this function and unique key, or null if there is none. */
    Ledger.OrderStatus find(String function, String unique) {
        return unique == null ? null : ledger.status(function, unique);
    }

    /** The share of the order that is done, from 0 to 1; 0 if it is not open here. */
    double progressOf(String id) {
        OpenJob openJob = openOrders.get(id);
        return openJob == null ? 0 : openJob.share();
    }

    // ---- clients ----

    /** Whether scheduled orders are in the ledger; before all members know of them, the fleet's schedule has them. */
    boolean takesStartTimes() {
        return ledger.takesStartTimes();
    }

    /** Whether an order waits for its start time. */
    boolean waitsForStart(Ledger.OrderStatus order) {
        return order.stage() == Ledger.Stage.HELD
                && order.startMs() > front.context.unixTime().nowMs();
    }

    /** The handles of the orders that wait for their start time. */
    List<String> scheduledHandles() {
        return ledger.scheduledIds();
    }

    /** Whether no scheduler is known to have this order, so that the fleet may cancel it. */
    boolean isCancellable(String handle) {
        Ledger.OrderStatus order = ledger.status(handle);
        return order != null && order.stage() == Ledger.Stage.HELD && !isOpen(handle);
    }

    /** Cancels an order that no scheduler holds. */
    void cancel(String handle, Consumer<Fleet.Reply> onAnswer) {
        ledger.cancel(handle, onAnswer);
    }

    /**
     * Submits an order to the fleet's ledger and passes on its answer.
     *
     * @param startMs when it starts, in Unix milliseconds, or 0 for at once
     */
    void submit(JobSpec request, boolean background, double startMs, Consumer<Fleet.Reply> onAnswer) {
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        String unique = request.work().unique();
        ledger.take(
                new Ledger.Order(
                        front.handleOf(request.id()),
                        request.work().name(),
                        unique == null ? "" : unique,
                        body,
                        request.work().priority(),
                        request.patienceMs(),
                        front.mayRunTwice(request),
                        background,
                        startMs),
                front.fleetAnswerLimitMs(request),
                onAnswer);
    }

    /**
     * Answers a waiting client with the order's outcome, at once if there is one. If there is none after the given
     * time plus a grace period, the client is told that the job failed; the order goes on and its outcome is kept.
     */
    void await(Submission submission, double patienceMs) {
        Ledger.OrderStatus order = ledger.status(submission.handle);
        if (order != null && order.ended()) {
            answer(submission, order);
        } else if (ending) {
            submission.failed(ByteBuffer.wrap(ENDS_TEXT));
        } else {
            waitingByHandle
                    .computeIfAbsent(submission.handle, id -> new ArrayList<>(1))
                    .add(submission);
            front.context.wheel().schedule(front.context.clock().nowMs() + patienceMs + OUTCOME_GRACE_MS, () -> {
                if (stopWaiting(submission)) {
                    submission.failed();
                }
            });
        }
    }

    /** Stops waiting for a client; the order goes on. Returns whether the client was waiting. */
    boolean stopWaiting(Submission submission) {
        List<Submission> submissions = waitingByHandle.get(submission.handle);
        boolean waited = submissions != null && submissions.remove(submission);
        if (waited && submissions.isEmpty()) {
            waitingByHandle.remove(submission.handle);
        }
        return waited;
    }

    @Override
    public boolean hasWaitingClients() {
        return !waitingByHandle.isEmpty();
    }

    /**
     * Answers all waiting clients because this scheduler ends: their orders go on elsewhere, and a client that submits its order
     * again under its key joins it there.
     */
    void endWaiting() {
        ending = true;
        List<Submission> submissions =
                waitingByHandle.values().stream().flatMap(List::stream).toList();
        waitingByHandle.clear();
        front.context.counters().add("gearman.answered_at_stop", submissions.size());
        submissions.forEach(submission -> submission.failed(ByteBuffer.wrap(ENDS_TEXT)));
    }

    private static void answer(Submission submission, Ledger.OrderStatus order) {
        switch (order.stage()) {
            case SERVED -> submission.completed(ByteBuffer.wrap(order.result()));
            case REFUSED -> submission.refused(RETRY_AFTER_MS);
            default -> {
                if (order.result().length > 0) {
                    submission.failed(ByteBuffer.wrap(order.result()));
                } else {
                    submission.failed();
                }
            }
        }
    }

    // ---- workers ----

    /** Reports to the ledger a result for a job that does not run on this worker, if it is a known order. */
    void reportLateResult(String handle, ByteBuffer result) {
        if (ledger.status(handle) != null) {
            front.context.counters().count("gearman.order_heard_late");
            ledger.report(handle, Ledger.Report.DONE, copyOf(result));
        }
    }

    private static byte[] copyOf(ByteBuffer buffer) {
        byte[] copy = new byte[buffer.remaining()];
        buffer.duplicate().get(copy);
        return copy;
    }

    // ---- Ledger.Holder ----

    @Override
    public boolean hold(Ledger.Order order) {
        Function function = front.functions.findOrAdd(order.function());
        if (function == null || front.stopping()) {
            return false;
        }
        String unique = order.unique().isEmpty() ? null : order.unique();
        JobSpec request = new JobSpec(
                order.id(),
                front.functions.classNumber(function),
                null,
                ByteBuffer.wrap(order.body()),
                order.patienceMs(),
                Double.NaN,
                1,
                Double.NaN,
                0,
                null,
                false,
                null,
                new JobSpec.Work(
                        function.kind,
                        function.name,
                        unique,
                        null,
                        order.priority(),
                        order.background() ? order.patienceMs() : Double.NaN));
        Refusal refusal = front.core.findRefusal(request);
        if (refusal != null && refusal != Refusal.TOO_LATE) { // a late one is refused for good, by the core
            return false;
        }
        Reply reply = new Reply(order.id(), order.background());
        replies.put(order.id(), reply);
        OpenJob openJob = front.core.submit(request, reply, this);
        if (openJob != null && !reply.ended) {
            openOrders.put(order.id(), openJob);
        }
        return true;
    }

    @Override
    public void drop(String id) {
        OpenJob openJob = openOrders.get(id);
        if (openJob != null) {
            replies.get(id).silent = true;
            front.core.cancelIfNotRunning(openJob);
        }
    }

    @Override
    public void ended(Ledger.OrderStatus order) {
        List<Submission> submissions = waitingByHandle.remove(order.id());
        if (submissions != null) {
            submissions.forEach(submission -> answer(submission, order));
        }
    }

    @Override
    public int capacity() {
        return front.stopping() ? 0 : MAX_OPEN_ORDERS - openOrders.size();
    }

    // ---- LeaseAuthority ----

    @Override
    public void requestLease(Attempt attempt, Consumer<Boolean> onGranted) {
        ledger.lease(attempt.spec().id(), onGranted);
    }

    @Override
    public void leaseNotUsed(Attempt attempt) {
        ledger.report(attempt.spec().id(), Ledger.Report.HANDED_BACK, new byte[0]);
    }

    /** An attempt that never ran is tried again; one that may have run only if its class allows it to run twice. */
    @Override
    public void ended(Attempt attempt, boolean neverRan) {
        if (neverRan) {
            leaseNotUsed(attempt);
        } else if (attempt.jobClass().effect() == Effect.FREE) {
            ledger.tryAgain(attempt.spec().id());
        }
    }

    /** Takes the outcome of an order from the core and reports it to the ledger. */
    private final class Reply implements ReplyTo {
        private final String id;
        private final boolean background;
        /** The order is no longer this scheduler's: its outcome is not reported. */
        private boolean silent;

        private boolean ended;

        Reply(String id, boolean background) {
            this.id = id;
            this.background = background;
        }

        private void end(Ledger.Report outcome, byte[] result) {
            ended = true;
            openOrders.remove(id);
            replies.remove(id);
            if (!silent) {
                ledger.report(id, outcome, result);
            }
        }

        @Override
        public void served(WorkerResult result) {
            end(Ledger.Report.DONE, copyOf(result.bytes()));
        }

        @Override
        public void refused(double retryAfterMs) {
            end(background ? Ledger.Report.RELEASED : Ledger.Report.GIVEN_UP, new byte[0]);
        }

        @Override
        public void failed() {
            end(Ledger.Report.STALLED, new byte[0]);
        }

        @Override
        public void failed(ByteBuffer reason) {
            end(Ledger.Report.FAILED, copyOf(reason));
        }

        @Override
        public boolean waits() {
            return false;
        }

        @Override
        public void progressed(double share) {
            List.copyOf(waitingByHandle.getOrDefault(id, List.of()))
                    .forEach(submission -> submission.progressed(share));
        }

        @Override
        public void warned(ByteBuffer text) {
            List.copyOf(waitingByHandle.getOrDefault(id, List.of())).forEach(submission -> submission.warned(text));
        }
    }
}
