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
import plumpost.durable.OrderLife.Deed;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.durable.OrderLife.Step;

/**
 * A small model checker: every interleaving of two orders, two workers and two crashes with the disk's writes, stalls,
 * late results, resubmits and reconnects, breadth first, each state once. Writes reach the disk in their order, and a
 * crash keeps any first part of those that are under way.
 */
final class OrderModel {
    private static final int ORDERS = 2;
    private static final int WORKERS = 2;
    private static final int CRASHES = 2;
    /** Leases of one order, and writes under way: bounds, without which the states have no end. */
    private static final int LEASES = 2;

    private static final int WRITES = 3;

    /** How the driver of the state machine may be broken on purpose. */
    enum Broken {
        NOTHING,
        HANDS_OUT_BEFORE_THE_RECORD,
        QUEUES_LEASED_ORDERS_AT_A_START,
        LOST_IS_HANDED_BACK,
        ACKNOWLEDGES_BEFORE_THE_RECORD,
        ANSWERS_LATE_RESULTS
    }

    /** What is known of an order, in memory or on disk. */
    record Known(State state, long fence, int worker) {}

    /** A write under way: the order's new state and what follows it. */
    record Write(int order, Known known, Deed deed, boolean acknowledges) {}

    /** The whole system; compared by value. */
    static final class World {
        Known[] disk = new Known[ORDERS];
        Known[] memory = new Known[ORDERS];
        List<Write> writes = new ArrayList<>();
        int[] runs = new int[ORDERS];
        boolean[] acknowledged = new boolean[ORDERS];
        /** 0 nobody waits, 1 a client waits, 2 it has its answer, 3 it got one more. */
        int[] client = new int[ORDERS];

        int[] holds = {-1, -1};
        long[] fence = new long[WORKERS];
        boolean[] ran = new boolean[WORKERS];
        int crashes;
        String broken;

        World copy() {
            World w = new World();
            w.disk = disk.clone();
            w.memory = memory.clone();
            w.writes = new ArrayList<>(writes);
            w.runs = runs.clone();
            w.acknowledged = acknowledged.clone();
            w.client = client.clone();
            w.holds = holds.clone();
            w.fence = fence.clone();
            w.ran = ran.clone();
            w.crashes = crashes;
            w.broken = broken;
            return w;
        }

        /** The same for worlds that differ only in the names of their orders and workers. */
        String key() {
            String least = null;
            for (int p = 0; p < 4; p++) {
                String k = key(p & 1, p >> 1);
                least = least == null || k.compareTo(least) < 0 ? k : least;
            }
            return least;
        }

        private String key(int swapOrders, int swapWorkers) {
            StringBuilder k = new StringBuilder(48);
            for (int i = 0; i < ORDERS; i++) {
                int o = i ^ swapOrders;
                add(k, disk[o], swapWorkers);
                add(k, memory[o], swapWorkers);
                k.append((char) (runs[o] * 16 + client[o] * 2 + (acknowledged[o] ? 1 : 0)));
            }
            for (int i = 0; i < WORKERS; i++) {
                int v = i ^ swapWorkers;
                k.append((char) ((holds[v] < 0 ? 0 : 1 + (holds[v] ^ swapOrders)) * 16
                        + (holds[v] < 0 ? 0 : fence[v] * 2 + (ran[v] ? 1 : 0))));
            }
            for (Write w : writes) {
                k.append((char) ((w.order ^ swapOrders) * 32
                        + (w.deed == null ? 0 : 1 + w.deed.ordinal()) * 2
                        + (w.acknowledges ? 1 : 0)));
                add(k, w.known, swapWorkers);
            }
            return k.append((char) crashes).toString();
        }

        private static void add(StringBuilder k, Known known, int swapWorkers) {
            k.append((char)
                    (known == null
                            ? 0
                            : 1
                                    + known.state.ordinal()
                                    + 8 * known.fence
                                    + 64 * (known.worker < 0 ? 0 : 1 + (known.worker ^ swapWorkers))));
        }

        void check(boolean kept, String words) {
            broken = broken == null && !kept ? words : broken;
        }
    }

    private final Broken how;
    final Set<String> seen = new HashSet<>();
    final Set<State> reached = EnumSet.noneOf(State.class);
    private final Map<String, String> from = new HashMap<>();
    private final ArrayDeque<World> next = new ArrayDeque<>();
    private String current;
    int moves;

    OrderModel(Broken how) {
        this.how = how;
    }

    // ---- the driver, as the scheduler is to be ----

    private void apply(World w, int o, Event event, long fence) {
        Known k = w.memory[o];
        Step s = k == null ? null : OrderLife.next(k.state(), k.fence(), event, fence);
        if (s != null) {
            perform(w, o, s, k.worker());
        }
    }

    private void perform(World w, int o, Step s, int worker) {
        w.memory[o] = new Known(s.state(), s.fence(), worker);
        if (s.atOnce() != null) {
            deed(w, o, s.atOnce());
        }
        Deed after = s.afterRecord();
        if (after == Deed.KEEP_ONLY && how == Broken.ANSWERS_LATE_RESULTS) {
            after = Deed.ANSWER_SERVED;
        }
        if (after == Deed.HAND_OUT && how == Broken.HANDS_OUT_BEFORE_THE_RECORD) {
            deed(w, o, after);
            after = null;
        }
        if (s.record()) {
            w.writes.add(new Write(o, w.memory[o], after, false));
        }
    }

    private void deed(World w, int o, Deed deed) {
        switch (deed) {
            case HAND_OUT -> {
                Known k = w.memory[o];
                if (k != null && k.state() == State.LEASED && w.holds[k.worker()] < 0) {
                    w.holds[k.worker()] = o;
                    w.fence[k.worker()] = k.fence();
                    w.ran[k.worker()] = false;
                }
            }
            case ANSWER_SERVED, ANSWER_FAILED -> {
                if (w.client[o] > 0) {
                    w.client[o]++;
                    w.check(w.client[o] == 2, "a client got two final answers for order " + o);
                }
            }
            default -> {} // QUEUE and AWAIT change nothing that a step could not do by itself
        }
    }

    // ---- what may happen ----

    private void move(World w, String name, Consumer<World> what) {
        World to = w.copy();
        what.accept(to);
        moves++;
        for (int o = 0; o < ORDERS; o++) {
            int order = o;
            to.check(to.runs[o] <= 1, "order " + o + " ran twice");
            to.check(!to.acknowledged[o] || to.disk[o] != null, "order " + o + " was acknowledged and is lost");
            to.check(
                    to.memory[o] == null || to.memory[o].state() != State.SERVED || to.runs[o] == 1,
                    "order " + order + " is told as served and never ran");
        }
        String key = to.key();
        if (seen.add(key)) {
            for (Known k : to.memory) {
                if (k != null) {
                    reached.add(k.state());
                }
            }
            from.put(key, current + "\n" + name);
            next.add(to);
        }
    }

    private boolean idle(World w, int worker) {
        return w.holds[worker] < 0
                && Arrays.stream(w.memory)
                        .noneMatch(k -> k != null && k.state() == State.LEASED && k.worker() == worker);
    }

    private void moves(World w) {
        for (int i = 0; i < ORDERS; i++) {
            int o = i;
            Known k = w.memory[o];
            if (w.client[o] != 1 && w.writes.size() < WRITES) {
                move(w, "client submits " + o, x -> submit(x, o));
            }
            if (k == null) {
                continue;
            }
            if (w.writes.size() >= WRITES) {
                continue;
            }
            if (k.state() == State.TAKEN) {
                for (int v = 0; v < WORKERS; v++) {
                    int worker = v;
                    if (idle(w, v) && k.fence() < LEASES) {
                        move(w, "module leases " + o + " to " + v, x -> {
                            Step s = OrderLife.next(k.state(), k.fence(), Event.LEASE, 0);
                            perform(x, o, s, worker);
                        });
                    }
                }
                move(w, "order " + o + " is given up", x -> apply(x, o, Event.GIVE_UP, 0));
            } else if (!k.state().ended()) {
                move(w, "lease of " + o + " runs out", x -> apply(x, o, Event.STALL, k.fence()));
            }
        }
        for (int v = 0; v < WORKERS; v++) {
            int worker = v;
            int o = w.holds[v];
            if (o < 0 || w.writes.size() >= WRITES) {
                continue;
            }
            if (!w.ran[v]) {
                move(w, "worker " + v + " runs " + o, x -> {
                    x.runs[o]++;
                    x.ran[worker] = true;
                });
                move(w, "worker " + v + " leaves " + o + " ungrabbed", x -> {
                    x.holds[worker] = -1;
                    apply(x, o, Event.HANDED_BACK, x.fence[worker]);
                });
            } else {
                move(w, "worker " + v + " tells of " + o, x -> apply(x, o, Event.HEARTBEAT, x.fence[worker]));
                for (Event e : List.of(Event.DONE, Event.FAIL)) {
                    move(w, "worker " + v + " ends " + o + " " + e, x -> {
                        x.holds[worker] = -1;
                        apply(x, o, e, x.fence[worker]);
                    });
                }
                move(w, "worker " + v + " is lost with " + o, x -> {
                    x.holds[worker] = -1;
                    apply(x, o, how == Broken.LOST_IS_HANDED_BACK ? Event.HANDED_BACK : Event.STALL, x.fence[worker]);
                });
            }
        }
        if (!w.writes.isEmpty()) {
            move(w, "a write is on disk", this::written);
        }
        if (w.crashes < CRASHES) {
            for (int kept = 0; kept <= w.writes.size(); kept++) {
                int n = kept;
                move(w, "crash, " + n + " of the writes are kept", x -> crash(x, n));
            }
        }
    }

    private void submit(World w, int o) {
        w.client[o] = 1;
        Known k = w.memory[o];
        if (k == null) {
            w.memory[o] = new Known(State.TAKEN, 0, -1);
            w.writes.add(new Write(o, w.memory[o], null, true));
            if (how == Broken.ACKNOWLEDGES_BEFORE_THE_RECORD) {
                w.acknowledged[o] = true;
            }
        } else if (k.state().ended() && w.writes.stream().noneMatch(x -> x.order() == o)) {
            deed(w, o, Deed.ANSWER_FAILED); // the kept outcome, whichever it is; one not yet on disk is waited for
        }
    }

    private void written(World w) {
        Write first = w.writes.remove(0);
        w.disk[first.order()] = first.known();
        if (first.acknowledges()) {
            w.acknowledged[first.order()] = true;
        }
        // A write that was overtaken by a later state of the order has nothing left to do but to be on disk.
        if (first.deed() != null && (first.known().equals(w.memory[first.order()]) || answers(first.deed()))) {
            deed(w, first.order(), first.deed());
        }
        if (first.deed() == Deed.KEEP_ONLY && w.client[first.order()] == 1) {
            w.client[first.order()]++; // who came again while the late result was under way
        }
    }

    private static boolean answers(Deed d) {
        return d == Deed.ANSWER_SERVED || d == Deed.ANSWER_FAILED;
    }

    private void crash(World w, int kept) {
        w.crashes++;
        for (int i = 0; i < kept; i++) {
            Write first = w.writes.remove(0);
            w.disk[first.order()] = first.known();
        }
        w.writes.clear();
        w.client = new int[ORDERS];
        for (int o = 0; o < ORDERS; o++) {
            w.memory[o] = w.disk[o];
            if (how == Broken.QUEUES_LEASED_ORDERS_AT_A_START
                    && w.disk[o] != null
                    && !w.disk[o].state().ended()) {
                w.memory[o] = new Known(State.TAKEN, w.disk[o].fence(), -1);
            } else {
                apply(w, o, Event.RECOVER, 0);
            }
        }
    }

    // ---- the search ----

    /** Searches until a rule is broken or all is seen; returns the shortest way to what is broken, or null. */
    String search() {
        World start = new World();
        seen.add(start.key());
        from.put(start.key(), "");
        next.add(start);
        while (!next.isEmpty()) {
            World w = next.poll();
            current = from.get(w.key());
            if (w.broken != null) {
                return w.broken + ":" + current;
            }
            moves(w);
            from.remove(w.key());
        }
        return null;
    }
}
