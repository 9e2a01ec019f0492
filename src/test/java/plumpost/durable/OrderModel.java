package plumpost.durable;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumpost.durable.OrderLife.Action;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.durable.OrderLife.Step;

/**
 * A small model checker. It explores, breadth first and each state once, every interleaving of two orders, two workers
 * and two crashes with disk writes, stalls, late results, resubmissions and reconnects. Writes reach the disk in order,
 * and a crash keeps any prefix of the pending ones.
 */
final class OrderModel {
    private static final int ORDER_COUNT = 2;
    private static final int WORKER_COUNT = 2;
    private static final int MAX_CRASHES = 2;
    /** Leases per order; without this limit and that on pending writes the state space would be infinite. */
    private static final int MAX_LEASES = 2;

    private static final int MAX_PENDING_WRITES = 3;

    /** Deliberate defects of the driver, which the search has to detect. */
    enum Mutation {
        NOTHING,
        HAND_OUT_BEFORE_WRITE,
        QUEUE_LEASED_ORDERS_ON_RESTART,
        TREAT_LOST_WORKER_AS_HAND_BACK,
        ACKNOWLEDGE_BEFORE_WRITE,
        ANSWER_LATE_RESULTS
    }

    /** State of an order in memory or on disk. */
    record OrderRecord(State state, long fence, int worker) {}

    /** A pending write: the order's new state and the action that follows the write. */
    record Write(int order, OrderRecord content, Action action, boolean acknowledges) {}

    /** State of the whole system; compared by {@link #key()}. */
    static final class SystemState {
        OrderRecord[] disk = new OrderRecord[ORDER_COUNT];
        OrderRecord[] memory = new OrderRecord[ORDER_COUNT];
        List<Write> pendingWrites = new ArrayList<>();
        int[] runCounts = new int[ORDER_COUNT];
        boolean[] acknowledged = new boolean[ORDER_COUNT];
        /** 0: no client waits; 1: a client waits; 2: it has its answer; 3: it has got a second answer. */
        int[] clientState = new int[ORDER_COUNT];

        int[] heldOrder = {-1, -1};
        long[] heldFence = new long[WORKER_COUNT];
        boolean[] hasRun = new boolean[WORKER_COUNT];
        int crashes;
        String violation;

        SystemState copy() {
            SystemState copy = new SystemState();
            copy.disk = disk.clone();
            copy.memory = memory.clone();
            copy.pendingWrites = new ArrayList<>(pendingWrites);
            copy.runCounts = runCounts.clone();
            copy.acknowledged = acknowledged.clone();
            copy.clientState = clientState.clone();
            copy.heldOrder = heldOrder.clone();
            copy.heldFence = heldFence.clone();
            copy.hasRun = hasRun.clone();
            copy.crashes = crashes;
            copy.violation = violation;
            return copy;
        }

        /** Returns a text that is equal for states that differ only in the numbering of their orders and workers. */
        String key() {
            String smallest = null;
            for (int permutation = 0; permutation < 4; permutation++) {
                String candidate = key(permutation & 1, permutation >> 1);
                smallest = smallest == null || candidate.compareTo(smallest) < 0 ? candidate : smallest;
            }
            return smallest;
        }

        private String key(int swapOrders, int swapWorkers) {
            StringBuilder key = new StringBuilder(48);
            for (int i = 0; i < ORDER_COUNT; i++) {
                int order = i ^ swapOrders;
                add(key, disk[order], swapWorkers);
                add(key, memory[order], swapWorkers);
                key.append((char) (runCounts[order] * 16 + clientState[order] * 2 + (acknowledged[order] ? 1 : 0)));
            }
            for (int i = 0; i < WORKER_COUNT; i++) {
                int worker = i ^ swapWorkers;
                key.append((char) ((heldOrder[worker] < 0 ? 0 : 1 + (heldOrder[worker] ^ swapOrders)) * 16
                        + (heldOrder[worker] < 0 ? 0 : heldFence[worker] * 2 + (hasRun[worker] ? 1 : 0))));
            }
            for (Write write : pendingWrites) {
                key.append((char) ((write.order ^ swapOrders) * 32
                        + (write.action == null ? 0 : 1 + write.action.ordinal()) * 2
                        + (write.acknowledges ? 1 : 0)));
                add(key, write.content, swapWorkers);
            }
            return key.append((char) crashes).toString();
        }

        private static void add(StringBuilder key, OrderRecord content, int swapWorkers) {
            key.append((char)
                    (content == null
                            ? 0
                            : 1
                                    + content.state.ordinal()
                                    + 8 * content.fence
                                    + 64 * (content.worker < 0 ? 0 : 1 + (content.worker ^ swapWorkers))));
        }

        void check(boolean holds, String message) {
            violation = violation == null && !holds ? message : violation;
        }
    }

    private final Mutation mutation;
    final Set<String> visited = new HashSet<>();
    final Set<State> reachedStates = EnumSet.noneOf(State.class);
    private final Map<String, String> paths = new HashMap<>();
    private final ArrayDeque<SystemState> queue = new ArrayDeque<>();
    private String currentPath;
    int transitionCount;

    OrderModel(Mutation mutation) {
        this.mutation = mutation;
    }

    // ---- the driver: what the scheduler does ----

    private void apply(SystemState system, int order, Event event, long fence) {
        OrderRecord current = system.memory[order];
        Step step = current == null ? null : OrderLife.next(current.state(), current.fence(), event, fence);
        if (step != null) {
            applyStep(system, order, step, current.worker());
        }
    }

    private void applyStep(SystemState system, int order, Step step, int worker) {
        system.memory[order] = new OrderRecord(step.state(), step.fence(), worker);
        if (step.immediateAction() != null) {
            execute(system, order, step.immediateAction());
        }
        Action afterRecord = step.actionAfterWrite();
        if (afterRecord == Action.KEEP_ONLY && mutation == Mutation.ANSWER_LATE_RESULTS) {
            afterRecord = Action.ANSWER_SERVED;
        }
        if (afterRecord == Action.HAND_OUT && mutation == Mutation.HAND_OUT_BEFORE_WRITE) {
            execute(system, order, afterRecord);
            afterRecord = null;
        }
        if (step.record()) {
            system.pendingWrites.add(new Write(order, system.memory[order], afterRecord, false));
        }
    }

    private void execute(SystemState system, int order, Action action) {
        switch (action) {
            case HAND_OUT -> {
                OrderRecord current = system.memory[order];
                if (current != null && current.state() == State.LEASED && system.heldOrder[current.worker()] < 0) {
                    system.heldOrder[current.worker()] = order;
                    system.heldFence[current.worker()] = current.fence();
                    system.hasRun[current.worker()] = false;
                }
            }
            case ANSWER_SERVED, ANSWER_FAILED -> {
                if (system.clientState[order] > 0) {
                    system.clientState[order]++;
                    system.check(system.clientState[order] == 2, "a client got two final answers for order " + order);
                }
            }
            default -> {} // QUEUE and AWAIT change nothing in this model
        }
    }

    // ---- transitions ----

    private void explore(SystemState system, String name, Consumer<SystemState> change) {
        SystemState successor = system.copy();
        change.accept(successor);
        transitionCount++;
        for (int order = 0; order < ORDER_COUNT; order++) {
            successor.check(successor.runCounts[order] <= 1, "order " + order + " ran twice");
            successor.check(
                    !successor.acknowledged[order] || successor.disk[order] != null,
                    "order " + order + " was acknowledged and is lost");
            successor.check(
                    successor.memory[order] == null
                            || successor.memory[order].state() != State.SERVED
                            || successor.runCounts[order] == 1,
                    "order " + order + " is reported as served and never ran");
        }
        String key = successor.key();
        if (visited.add(key)) {
            for (OrderRecord record : successor.memory) {
                if (record != null) {
                    reachedStates.add(record.state());
                }
            }
            paths.put(key, currentPath + "\n" + name);
            queue.add(successor);
        }
    }

    private boolean isIdle(SystemState system, int worker) {
        return system.heldOrder[worker] < 0
                && Arrays.stream(system.memory)
                        .noneMatch(k -> k != null && k.state() == State.LEASED && k.worker() == worker);
    }

    private void exploreAll(SystemState system) {
        for (int i = 0; i < ORDER_COUNT; i++) {
            int order = i;
            OrderRecord current = system.memory[order];
            if (system.clientState[order] != 1 && system.pendingWrites.size() < MAX_PENDING_WRITES) {
                explore(system, "client submits " + order, successor -> submit(successor, order));
            }
            if (current == null) {
                continue;
            }
            if (system.pendingWrites.size() >= MAX_PENDING_WRITES) {
                continue;
            }
            if (current.state() == State.TAKEN) {
                for (int number = 0; number < WORKER_COUNT; number++) {
                    int worker = number;
                    if (isIdle(system, number) && current.fence() < MAX_LEASES) {
                        explore(system, "module leases " + order + " to " + number, successor -> {
                            Step step = OrderLife.next(current.state(), current.fence(), Event.LEASE, 0);
                            applyStep(successor, order, step, worker);
                        });
                    }
                }
                explore(
                        system,
                        "order " + order + " is given up",
                        successor -> apply(successor, order, Event.GIVE_UP, 0));
            } else if (!current.state().ended()) {
                explore(
                        system,
                        "lease of " + order + " runs out",
                        successor -> apply(successor, order, Event.STALL, current.fence()));
            }
        }
        for (int number = 0; number < WORKER_COUNT; number++) {
            int worker = number;
            int order = system.heldOrder[number];
            if (order < 0 || system.pendingWrites.size() >= MAX_PENDING_WRITES) {
                continue;
            }
            if (!system.hasRun[number]) {
                explore(system, "worker " + number + " runs " + order, successor -> {
                    successor.runCounts[order]++;
                    successor.hasRun[worker] = true;
                });
                explore(system, "worker " + number + " leaves " + order + " ungrabbed", successor -> {
                    successor.heldOrder[worker] = -1;
                    apply(successor, order, Event.HANDED_BACK, successor.heldFence[worker]);
                });
            } else {
                explore(
                        system,
                        "worker " + number + " reports on " + order,
                        successor -> apply(successor, order, Event.HEARTBEAT, successor.heldFence[worker]));
                for (Event ending : List.of(Event.DONE, Event.FAIL)) {
                    explore(system, "worker " + number + " ends " + order + " " + ending, successor -> {
                        successor.heldOrder[worker] = -1;
                        apply(successor, order, ending, successor.heldFence[worker]);
                    });
                }
                explore(system, "worker " + number + " is lost with " + order, successor -> {
                    successor.heldOrder[worker] = -1;
                    apply(
                            successor,
                            order,
                            mutation == Mutation.TREAT_LOST_WORKER_AS_HAND_BACK ? Event.HANDED_BACK : Event.STALL,
                            successor.heldFence[worker]);
                });
            }
        }
        if (!system.pendingWrites.isEmpty()) {
            explore(system, "a write is on disk", this::completeWrite);
        }
        if (system.crashes < MAX_CRASHES) {
            for (int count = 0; count <= system.pendingWrites.size(); count++) {
                int keptWrites = count;
                explore(
                        system,
                        "crash, " + keptWrites + " of the writes are kept",
                        successor -> crash(successor, keptWrites));
            }
        }
    }

    private void submit(SystemState system, int order) {
        system.clientState[order] = 1;
        OrderRecord current = system.memory[order];
        if (current == null) {
            system.memory[order] = new OrderRecord(State.TAKEN, 0, -1);
            system.pendingWrites.add(new Write(order, system.memory[order], null, true));
            if (mutation == Mutation.ACKNOWLEDGE_BEFORE_WRITE) {
                system.acknowledged[order] = true;
            }
        } else if (current.state().ended()
                && system.pendingWrites.stream().noneMatch(write -> write.order() == order)) {
            // Answers with the kept outcome, whichever it is; an outcome that is not yet on disk is waited for.
            execute(system, order, Action.ANSWER_FAILED);
        }
    }

    private void completeWrite(SystemState system) {
        Write write = system.pendingWrites.remove(0);
        system.disk[write.order()] = write.content();
        if (write.acknowledges()) {
            system.acknowledged[write.order()] = true;
        }
        // A write superseded by a later state of the order has no action left, except to answer.
        if (write.action() != null
                && (write.content().equals(system.memory[write.order()]) || isAnswer(write.action()))) {
            execute(system, write.order(), write.action());
        }
        if (write.action() == Action.KEEP_ONLY && system.clientState[write.order()] == 1) {
            system.clientState[write.order()]++; // a client that resubmitted while the late result was being written
        }
    }

    private static boolean isAnswer(Action action) {
        return action == Action.ANSWER_SERVED || action == Action.ANSWER_FAILED;
    }

    private void crash(SystemState system, int kept) {
        system.crashes++;
        for (int i = 0; i < kept; i++) {
            Write write = system.pendingWrites.remove(0);
            system.disk[write.order()] = write.content();
        }
        system.pendingWrites.clear();
        system.clientState = new int[ORDER_COUNT];
        for (int order = 0; order < ORDER_COUNT; order++) {
            system.memory[order] = system.disk[order];
            if (mutation == Mutation.QUEUE_LEASED_ORDERS_ON_RESTART
                    && system.disk[order] != null
                    && !system.disk[order].state().ended()) {
                system.memory[order] = new OrderRecord(State.TAKEN, system.disk[order].fence(), -1);
            } else {
                apply(system, order, Event.RECOVER, 0);
            }
        }
    }

    // ---- the search ----

    /** Explores all states; returns the first violation with the shortest path to it, or null if there is none. */
    String search() {
        SystemState start = new SystemState();
        visited.add(start.key());
        paths.put(start.key(), "");
        queue.add(start);
        while (!queue.isEmpty()) {
            SystemState system = queue.poll();
            currentPath = paths.get(system.key());
            if (system.violation != null) {
                return system.violation + ":" + currentPath;
            }
            exploreAll(system);
            paths.remove(system.key());
        }
        return null;
    }
}
