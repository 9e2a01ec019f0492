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
 * The fleet's ledger: every covered order from its taking to the end of its keeping, as agreed on in the log. An order is
 * held by one life, its holder, or by nobody; what becomes of it follows {@link OrderLife}. A lease, the only right to
 * hand it out, is given to its holder while that life goes on, and is used up by being given: its number never comes
 * again. What was never leased is free when its holder is gone; what was leased is awaited, and then given up as
 * may-have-run, or, where it may run twice, is free again, six leases in all.
 */
public final class Orders {
    /** Orders known at once, kept outcomes too, and bytes of bodies and results; one more is refused. */
    static final int MAX_ORDERS = 100_000;

    static final long MAX_BYTES = 64L << 20;
    /** Attempts of a repeatable order, over all schedulers. */
    static final int MAX_LEASES = 6;

    /**
     * An order.
     *
     * @param id the handle that its client was given
     * @param patienceMs for how long whoever holds it tries
     * @param repeatable whether it may run twice
     * @param background whether nobody waits for its answer
     * @param holder who holds it, empty for nobody; {@code incarnation} is the life that does
     * @param lease the number of its latest lease, 0 before the first
     * @param result what its worker made, or said of its failure; empty before its end
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
            byte[] result) {
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
                    newResult);
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
                    result);
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

    /** All, in the order in which they were taken. */
    public Collection<Order> all() {
        return byId.values();
    }

    /** One by its handle, or null. */
    public Order find(String id) {
        return byId.get(id);
    }

    /** The order under a function and a client's key, open or kept, or null. */
    public Order findByKey(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    /** Takes an order; under a key that is known it is that one, whose handle is told. */
    Outcome take(Entry.Take command, Sessions sessions, Collection<News> events) {
        Order existing = byId.get(command.id());
        existing = existing != null || command.unique().isEmpty()
                ? existing
                : findByKey(command.function(), command.unique());
        if (existing != null) {
            return new Outcome(true, 0, existing.id);
        }
        if (!sessions.live(command.session().name(), command.session().incarnation())) {
            return Outcome.refused("no such life as " + command.session().name() + "#"
                    + command.session().incarnation());
        }
        if (byId.size() >= MAX_ORDERS || storedBytes + command.body().length > MAX_BYTES) {
            return Outcome.refused("the fleet's ledger is full: " + byId.size() + " orders, " + storedBytes + " bytes");
        }
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
                EMPTY_RESULT);
        update(order, events);
        return new Outcome(true, 0, order.id);
    }

    /** One event of an order's life, told by a life that holds it, or that heard its worker. */
    Outcome applyEvent(Entry.Told command, Sessions sessions, Collection<News> events) {
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
                        || sessions.of(order.holder).state() == Sessions.State.LEAVING)) {
            return Outcome.refused("order " + order.id + " is not "
                    + command.session().name() + "#" + command.session().incarnation() + "'s to lease");
        }
        if (command.event() == Event.GIVE_UP && !order.isHeldBy(command.session())) {
            return Outcome.refused("order " + order.id + " is not "
                    + command.session().name() + "#" + command.session().incarnation() + "'s");
        }
        OrderLife.Step step = OrderLife.next(order.state, order.lease, command.event(), command.lease());
        if (step == null || command.event() == Event.RECOVER) {
            return Outcome.refused("order " + order.id + " is " + order.state + " under lease " + order.lease + ": "
                    + command.event() + " under " + command.lease() + " means nothing");
        }
        if (command.event() == Event.GIVE_UP) { // it never ran: nothing is kept, and it may be handed in anew
            remove(order);
            events.add(new News.OrderChanged(order.withState(State.FAILED, order.lease, EMPTY_RESULT), order));
            return Outcome.DONE;
        }
        Order next = order.withState(
                step.state(),
                (int) step.fence(),
                step.state() == State.SERVED || step.state() == State.FAILED ? command.result() : order.result);
        if (command.event() == Event.STALL && order.repeatable && order.lease < MAX_LEASES) {
            next = order.withState(
                    State.TAKEN, order.lease, order.result); // its holder may try again, under the next lease
        }
        if (next.state == State.TAKEN && !sessionLive) {
            next = next.withHolder("", 0);
        }
        update(next, events);
        return Outcome.done(next.lease);
    }

    /** Free orders become a life's, as many as are still free. */
    Outcome claim(Entry.Claim command, Sessions sessions, Collection<News> events) {
        if (!sessions.live(command.session().name(), command.session().incarnation())
                || sessions.of(command.session().name()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such life as " + command.session().name() + "#"
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

    /** Whether nobody holds an order that was not handed out. */
    static boolean isFree(Order order) {
        return order.state == State.TAKEN && order.holder.isEmpty();
    }

    /** Its holder gives what it has not handed out back. */
    Outcome release(Entry.Release command, Collection<News> events) {
        for (String id : command.ids()) {
            Order order = byId.get(id);
            if (order != null && order.state == State.TAKEN && order.isHeldBy(command.session())) {
                update(order.withHolder("", 0), events);
            }
        }
        return Outcome.DONE;
    }

    /** The ledger's owner says whose worker was waited for long enough, and whose outcome was kept long enough. */
    Outcome settle(Entry.Settle command, Collection<News> events) {
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

    /** A life is over: what it held and had not leased is free, what it had leased is awaited. */
    void sessionLost(String name, long incarnation, Collection<News> events) {
        forEachMatching(
                order -> order.holder.equals(name) && order.incarnation == incarnation && !order.state.ended(),
                order -> {
                    OrderLife.Step step = OrderLife.next(order.state, order.lease, Event.RECOVER, order.lease);
                    Order next = order.withState(step.state(), order.lease, order.result);
                    update(next.state == State.TAKEN ? next.withHolder("", 0) : next, events);
                });
    }

    /** A life ends in order: what it has not handed out is free at once. */
    void sessionLeaving(String name, long incarnation, Collection<News> events) {
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

    private void update(Order order, Collection<News> events) {
        Order previous = byId.put(order.id, order);
        storedBytes += order.bytes() - (previous == null ? 0 : previous.bytes());
        if (previous == null && !order.unique.isEmpty()) {
            byKey.put(key(order.function, order.unique), order.id);
        }
        events.add(new News.OrderChanged(order, previous));
    }

    /** What a snapshot keeps of it. */
    public record Snapshot(List<Order> orders) {}

    Snapshot snapshot() {
        return new Snapshot(new ArrayList<>(byId.values()));
    }

    static Orders fromSnapshot(Snapshot snapshot) {
        Orders restored = new Orders();
        List<News> ignored = new ArrayList<>();
        snapshot.orders.forEach(order -> restored.update(order, ignored));
        return restored;
    }
}
