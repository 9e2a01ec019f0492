package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import plumpost.durable.OrderLife;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;

/**
 * The fleet's ledger: every covered order from its acceptance until its outcome is forgotten, as agreed on in the log. An
 * order is held by one session, its holder, or by none; its states follow {@link OrderLife}. A lease is the only right to
 * hand an order out: it is granted to the holder while that session runs, and is used up by being granted, so that its
 * number never recurs. When a holder is gone, an order that it had not leased becomes free. One that it had leased is
 * awaited; it is then given up, since it may have run, or, if it is repeatable, becomes free again, up to six leases in
 * total.
 */
public final class Orders {
    /**
     * Maximum number of orders, kept outcomes included, and of bytes of their bodies and results; what exceeds them is
     * refused.
     */
    static final int MAX_ORDERS = 100_000;

    static final long MAX_BYTES = 64L << 20;
    /** Maximum number of attempts of a repeatable order, over all schedulers. */
    static final int MAX_LEASES = 6;

    /**
     * A covered order.
     *
     * @param id the handle that its client was given
     * @param patienceMs for how many milliseconds its holder tries
     * @param repeatable whether it may run twice
     * @param background whether no client waits for its answer
     * @param holder the scheduler that holds it, empty for none; {@code incarnation} is the session that does
     * @param lease the number of its latest lease, 0 before the first
     * @param result the worker's result or error; empty before the order ends
     * @param startMs when it starts, in Unix milliseconds, or 0 for at once
     */
    public record Order(
            String id,
            String function,
            String unique,
            byte[] body,
            int priority,
            double patienceMs,
            boolean repeatable,
            boolean background,
            State state,
            String holder,
            long incarnation,
            int lease,
            byte[] result,
            @SinceFormat(2) double startMs) {
        Order withState(State next, int newLease, byte[] newResult) {
            return new Order(
                    id,
                    function,
                    unique,
                    body,
                    priority,
                    patienceMs,
                    repeatable,
                    background,
                    next,
                    holder,
                    incarnation,
                    newLease,
                    newResult,
                    startMs);
        }

        Order withHolder(String newHolder, long newIncarnation) {
            return new Order(
                    id,
                    function,
                    unique,
                    body,
                    priority,
                    patienceMs,
                    repeatable,
                    background,
                    state,
                    newHolder,
                    newIncarnation,
                    lease,
                    result,
                    startMs);
        }

        boolean isHeldBy(Entry.SessionId session) {
            return holder.equals(session.name()) && incarnation == session.incarnation();
        }

        private long bytes() {
            return body.length + result.length;
        }
    }

    private static final byte[] EMPTY_RESULT = new byte[0];

    private final LinkedHashMap<String, Order> byId = new LinkedHashMap<>();
    private final Map<String, String> byKey = new HashMap<>();
    private long storedBytes;

    /** All orders, in the order in which they were accepted. */
    public Collection<Order> all() {
        return byId.values();
    }

    /** Returns an order by its handle, or null. */
    public Order find(String id) {
        return byId.get(id);
    }

    /** Returns the order with this function and client's key, open or kept, or null. */
    public Order findByKey(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    /** Accepts an order, which its session holds; see {@link #accept}. */
    Outcome take(Entry.Take command, Sessions sessions, Collection<FleetEvent> events) {
        Order order = new Order(
                command.id(),
                command.function(),
                command.unique(),
                command.body(),
                command.priority(),
                command.patienceMs(),
                command.repeatable(),
                command.background(),
                State.TAKEN,
                command.session().name(),
                command.session().incarnation(),
                0,
                EMPTY_RESULT,
                0);
        return accept(order, command.session(), sessions, events);
    }

    /** Accepts an order with a start time, which nobody holds; see {@link #accept}. */
    Outcome take(Entry.TakeScheduled command, Sessions sessions, Collection<FleetEvent> events) {
        Order order = new Order(
                command.id(),
                command.function(),
                command.unique(),
                command.body(),
                0,
                command.patienceMs(),
                command.repeatable(),
                true,
                State.TAKEN,
                "",
                0,
                0,
                EMPTY_RESULT,
                command.startMs());
        return accept(order, command.session(), sessions, events);
    }

    /** Keeps a planned job that has ended as an order that may have run; its result is not known to the log. */
    void keepEnded(PlannedJobs.Job job, Collection<FleetEvent> events) {
        if (byId.containsKey(job.id())) {
            return;
        }
        Order order = new Order(
                job.id(),
                job.function(),
                job.unique(),
                EMPTY_RESULT,
                0,
                0,
                false,
                true,
                State.UNKNOWN,
                "",
                0,
                0,
                EMPTY_RESULT,
                job.startMs());
        update(order, events);
    }

    /** Accepts an order; if its key is known already the outcome names the handle of that order instead. */
    private Outcome accept(Order order, Entry.SessionId session, Sessions sessions, Collection<FleetEvent> events) {
        Order existing = byId.get(order.id);
        existing = existing != null || order.unique.isEmpty() ? existing : findByKey(order.function, order.unique);
        if (existing != null) {
            return new Outcome(true, 0, existing.id);
        }
        if (!sessions.live(session.name(), session.incarnation())) {
            return Outcome.refused("no such session as " + session.name() + "#" + session.incarnation());
        }
        if (byId.size() >= MAX_ORDERS || storedBytes + order.body.length > MAX_BYTES) {
            return Outcome.refused("the fleet's ledger is full: " + byId.size() + " orders, " + storedBytes + " bytes");
        }
        update(order, events);
        return new Outcome(true, 0, order.id);
    }

    /** Applies an event of an order, reported by the session that holds it or that received its worker's report. */
    Outcome applyEvent(Entry.Told command, Sessions sessions, Collection<FleetEvent> events) {
        Order order = byId.get(command.id());
        if (order == null) {
            return Outcome.refused("order " + command.id() + " is not known");
        }
        boolean sessionLive =
                sessions.live(command.session().name(), command.session().incarnation());
        if (command.event() == Event.LEASE
                && (!sessionLive
                        || !order.isHeldBy(command.session())
                        || command.lease() != order.lease
                        || sessions.find(order.holder).state() == Sessions.State.LEAVING)) {
            return Outcome.refused("order " + order.id + " is not "
                    + command.session().name() + "#" + command.session().incarnation() + "'s to lease");
        }
        boolean isFreeToCancel = isFree(order) && sessions.format() >= FleetCodec.FORMAT_WITH_START_TIMES;
        if (command.event() == Event.GIVE_UP && !order.isHeldBy(command.session()) && !isFreeToCancel) {
            return Outcome.refused("order " + order.id + " is not "
                    + command.session().name() + "#" + command.session().incarnation() + "'s");
        }
        OrderLife.Step step = OrderLife.next(order.state, order.lease, command.event(), command.lease());
        if (step == null || command.event() == Event.RECOVER) {
            return Outcome.refused("order " + order.id + " is " + order.state + " under lease " + order.lease + ": "
                    + command.event() + " under " + command.lease() + " does not apply");
        }
        if (command.event() == Event.GIVE_UP) {
            // It never ran: nothing is kept, and a client may submit it again.
            remove(order);
            events.add(new FleetEvent.OrderChanged(order.withState(State.FAILED, order.lease, EMPTY_RESULT), order));
            return Outcome.DONE;
        }
        Order next = order.withState(
                step.state(),
                (int) step.fence(),
                step.state() == State.SERVED || step.state() == State.FAILED ? command.result() : order.result);
        if (command.event() == Event.STALL && order.repeatable && order.lease < MAX_LEASES) {
            // Its holder may try again, under the next lease.
            next = order.withState(State.TAKEN, order.lease, order.result);
        }
        if (next.state == State.TAKEN && !sessionLive) {
            next = next.withHolder("", 0);
        }
        update(next, events);
        return Outcome.done(next.lease);
    }

    /** Makes a session the holder of those of the given orders that are still free. */
    Outcome claim(Entry.Claim command, Sessions sessions, Collection<FleetEvent> events) {
        if (!sessions.live(command.session().name(), command.session().incarnation())
                || sessions.find(command.session().name()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such session as " + command.session().name() + "#"
                    + command.session().incarnation());
        }
        int claimed = 0;
        for (String id : command.ids()) {
            Order order = byId.get(id);
            if (order != null && isFree(order)) {
                update(
                        order.withHolder(
                                command.session().name(), command.session().incarnation()),
                        events);
                claimed++;
            }
        }
        return Outcome.done(claimed);
    }

    /** Whether an order is neither held nor handed out. */
    static boolean isFree(Order order) {
        return order.state == State.TAKEN && order.holder.isEmpty();
    }

    /** Frees those of the given orders that the session holds and has not handed out. */
    Outcome release(Entry.Release command, Collection<FleetEvent> events) {
        for (String id : command.ids()) {
            Order order = byId.get(id);
            if (order != null && order.state == State.TAKEN && order.isHeldBy(command.session())) {
                update(order.withHolder("", 0), events);
            }
        }
        return Outcome.DONE;
    }

    /** Gives up the awaited orders, and forgets the ended ones, that the owner of the ledger names. */
    Outcome settle(Entry.Settle command, Collection<FleetEvent> events) {
        for (String id : command.givenUp()) {
            Order order = byId.get(id);
            if (order != null && order.state == State.AWAITED) {
                update(
                        order.repeatable && order.lease < MAX_LEASES
                                ? order.withState(State.TAKEN, order.lease, order.result)
                                        .withHolder("", 0)
                                : order.withState(State.UNKNOWN, order.lease, order.result),
                        events);
            }
        }
        for (String id : command.forgotten()) {
            Order order = byId.get(id);
            if (order != null && order.state.ended()) {
                remove(order);
            }
        }
        return Outcome.DONE;
    }

    /** Handles the end of a session: orders that it had not leased become free, leased ones are awaited. */
    void sessionLost(String name, long incarnation, Collection<FleetEvent> events) {
        forEachMatching(
                order -> order.holder.equals(name) && order.incarnation == incarnation && !order.state.ended(),
                order -> {
                    OrderLife.Step step = OrderLife.next(order.state, order.lease, Event.RECOVER, order.lease);
                    Order next = order.withState(step.state(), order.lease, order.result);
                    update(next.state == State.TAKEN ? next.withHolder("", 0) : next, events);
                });
    }

    /** Frees the orders of a session that shuts down in order, except those that it has handed out. */
    void sessionLeaving(String name, long incarnation, Collection<FleetEvent> events) {
        forEachMatching(
                order -> order.state == State.TAKEN && order.holder.equals(name) && order.incarnation == incarnation,
                order -> update(order.withHolder("", 0), events));
    }

    private void forEachMatching(Predicate<Order> condition, java.util.function.Consumer<Order> action) {
        for (Order order : List.copyOf(byId.values())) {
            if (condition.test(order)) {
                action.accept(order);
            }
        }
    }

    private void remove(Order order) {
        byId.remove(order.id);
        byKey.remove(key(order.function, order.unique), order.id);
        storedBytes -= order.bytes();
    }

    private void update(Order order, Collection<FleetEvent> events) {
        Order previous = byId.put(order.id, order);
        storedBytes += order.bytes() - (previous == null ? 0 : previous.bytes());
        if (previous == null && !order.unique.isEmpty()) {
            byKey.put(key(order.function, order.unique), order.id);
        }
        events.add(new FleetEvent.OrderChanged(order, previous));
    }

    /** The part of a snapshot that holds the orders. */
    public record Snapshot(List<Order> orders) {}

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(byId.values()));
    }

    static Orders fromSnapshot(Snapshot snapshot) {
        Orders restored = new Orders();
        List<FleetEvent> ignored = new ArrayList<>();
        snapshot.orders.forEach(order -> restored.update(order, ignored));
        return restored;
    }
}
