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
    static final int MOST = 100_000;

    static final long MOST_BYTES = 64L << 20;
    /** Attempts of a repeatable order, over all schedulers. */
    static final int MOST_LEASES = 6;

    /**
     * An order.
     *
     * @param id the handle that its client was given
     * @param patienceMs for how long whoever holds it tries
     * @param again whether it may run twice
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
            boolean again,
            boolean background,
            State state,
            String holder,
            long incarnation,
            int lease,
            byte[] result) {
        Order in(State next, int latest, byte[] made) {
            return new Order(
                    id,
                    function,
                    unique,
                    body,
                    priority,
                    patienceMs,
                    again,
                    background,
                    next,
                    holder,
                    incarnation,
                    latest,
                    made);
        }

        Order heldBy(String who, long life) {
            return new Order(
                    id,
                    function,
                    unique,
                    body,
                    priority,
                    patienceMs,
                    again,
                    background,
                    state,
                    who,
                    life,
                    lease,
                    result);
        }

        boolean heldBy(Entry.By by) {
            return holder.equals(by.name()) && incarnation == by.incarnation();
        }

        private long bytes() {
            return body.length + result.length;
        }
    }

    private static final byte[] NOTHING = new byte[0];

    private final LinkedHashMap<String, Order> byId = new LinkedHashMap<>();
    private final Map<String, String> byKey = new HashMap<>();
    private long bytes;

    /** All, in the order in which they were taken. */
    public Collection<Order> all() {
        return byId.values();
    }

    /** One by its handle, or null. */
    public Order of(String id) {
        return byId.get(id);
    }

    /** The order under a function and a client's key, open or kept, or null. */
    public Order under(String function, String unique) {
        return byId.get(byKey.getOrDefault(key(function, unique), ""));
    }

    private static String key(String function, String unique) {
        return function + '\0' + unique;
    }

    /** Takes an order; under a key that is known it is that one, whose handle is told. */
    Outcome take(Entry.Take t, Sessions sessions, Collection<News> news) {
        Order same = byId.get(t.id());
        same = same != null || t.unique().isEmpty() ? same : under(t.function(), t.unique());
        if (same != null) {
            return new Outcome(true, 0, same.id);
        }
        if (!sessions.live(t.by().name(), t.by().incarnation())) {
            return Outcome.refused("no such life as " + t.by().name() + "#" + t.by().incarnation());
        }
        if (byId.size() >= MOST || bytes + t.body().length > MOST_BYTES) {
            return Outcome.refused("the fleet's ledger is full: " + byId.size() + " orders, " + bytes + " bytes");
        }
        Order o = new Order(
                t.id(),
                t.function(),
                t.unique(),
                t.body(),
                t.priority(),
                t.patienceMs(),
                t.again(),
                t.background(),
                State.TAKEN,
                t.by().name(),
                t.by().incarnation(),
                0,
                NOTHING);
        put(o, news);
        return new Outcome(true, 0, o.id);
    }

    /** One event of an order's life, told by a life that holds it, or that heard its worker. */
    Outcome event(Entry.Told t, Sessions sessions, Collection<News> news) {
        Order o = byId.get(t.id());
        if (o == null) {
            return Outcome.refused("order " + t.id() + " is not known");
        }
        boolean lives = sessions.live(t.by().name(), t.by().incarnation());
        if (t.event() == Event.LEASE
                && (!lives
                        || !o.heldBy(t.by())
                        || t.lease() != o.lease
                        || sessions.of(o.holder).state() == Sessions.State.LEAVING)) {
            return Outcome.refused(
                    "order " + o.id + " is not " + t.by().name() + "#" + t.by().incarnation() + "'s to lease");
        }
        if (t.event() == Event.GIVE_UP && !o.heldBy(t.by())) {
            return Outcome.refused("order " + o.id + " is not " + t.by().name() + "#" + t.by().incarnation() + "'s");
        }
        OrderLife.Step step = OrderLife.next(o.state, o.lease, t.event(), t.lease());
        if (step == null || t.event() == Event.RECOVER) {
            return Outcome.refused("order " + o.id + " is " + o.state + " under lease " + o.lease + ": " + t.event()
                    + " under " + t.lease() + " means nothing");
        }
        if (t.event() == Event.GIVE_UP) { // it never ran: nothing is kept, and it may be handed in anew
            remove(o);
            news.add(new News.Ordered(o.in(State.FAILED, o.lease, NOTHING), o));
            return Outcome.DONE;
        }
        Order next = o.in(
                step.state(),
                (int) step.fence(),
                step.state() == State.SERVED || step.state() == State.FAILED ? t.result() : o.result);
        if (t.event() == Event.STALL && o.again && o.lease < MOST_LEASES) {
            next = o.in(State.TAKEN, o.lease, o.result); // its holder may try again, under the next lease
        }
        if (next.state == State.TAKEN && !lives) {
            next = next.heldBy("", 0);
        }
        put(next, news);
        return Outcome.done(next.lease);
    }

    /** Free orders become a life's, as many as are still free. */
    Outcome claim(Entry.Claim c, Sessions sessions, Collection<News> news) {
        if (!sessions.live(c.by().name(), c.by().incarnation())
                || sessions.of(c.by().name()).state() == Sessions.State.LEAVING) {
            return Outcome.refused("no such life as " + c.by().name() + "#" + c.by().incarnation());
        }
        int got = 0;
        for (String id : c.ids()) {
            Order o = byId.get(id);
            if (o != null && free(o)) {
                put(o.heldBy(c.by().name(), c.by().incarnation()), news);
                got++;
            }
        }
        return Outcome.done(got);
    }

    /** Whether nobody holds an order that was not handed out. */
    static boolean free(Order o) {
        return o.state == State.TAKEN && o.holder.isEmpty();
    }

    /** Its holder gives what it has not handed out back. */
    Outcome release(Entry.Release r, Collection<News> news) {
        for (String id : r.ids()) {
            Order o = byId.get(id);
            if (o != null && o.state == State.TAKEN && o.heldBy(r.by())) {
                put(o.heldBy("", 0), news);
            }
        }
        return Outcome.DONE;
    }

    /** The ledger's owner says whose worker was waited for long enough, and whose outcome was kept long enough. */
    Outcome settle(Entry.Settle s, Collection<News> news) {
        for (String id : s.given()) {
            Order o = byId.get(id);
            if (o != null && o.state == State.AWAITED) {
                put(
                        o.again && o.lease < MOST_LEASES
                                ? o.in(State.TAKEN, o.lease, o.result).heldBy("", 0)
                                : o.in(State.UNKNOWN, o.lease, o.result),
                        news);
            }
        }
        for (String id : s.forgotten()) {
            Order o = byId.get(id);
            if (o != null && o.state.ended()) {
                remove(o);
            }
        }
        return Outcome.DONE;
    }

    /** A life is over: what it held and had not leased is free, what it had leased is awaited. */
    void lost(String name, long incarnation, Collection<News> news) {
        each(o -> o.holder.equals(name) && o.incarnation == incarnation && !o.state.ended(), o -> {
            OrderLife.Step step = OrderLife.next(o.state, o.lease, Event.RECOVER, o.lease);
            Order next = o.in(step.state(), o.lease, o.result);
            put(next.state == State.TAKEN ? next.heldBy("", 0) : next, news);
        });
    }

    /** A life ends in order: what it has not handed out is free at once. */
    void leaving(String name, long incarnation, Collection<News> news) {
        each(
                o -> o.state == State.TAKEN && o.holder.equals(name) && o.incarnation == incarnation,
                o -> put(o.heldBy("", 0), news));
    }

    private void each(Predicate<Order> which, java.util.function.Consumer<Order> what) {
        for (Order o : List.copyOf(byId.values())) {
            if (which.test(o)) {
                what.accept(o);
            }
        }
    }

    private void remove(Order o) {
        byId.remove(o.id);
        byKey.remove(key(o.function, o.unique), o.id);
        bytes -= o.bytes();
    }

    private void put(Order o, Collection<News> news) {
        Order old = byId.put(o.id, o);
        bytes += o.bytes() - (old == null ? 0 : old.bytes());
        if (old == null && !o.unique.isEmpty()) {
            byKey.put(key(o.function, o.unique), o.id);
        }
        news.add(new News.Ordered(o, old));
    }

    /** What a snapshot keeps of it. */
    public record Image(List<Order> orders) {}

    Image image() {
        return new Image(new ArrayList<>(byId.values()));
    }

    static Orders of(Image image) {
        Orders all = new Orders();
        List<News> none = new ArrayList<>();
        image.orders.forEach(o -> all.put(o, none));
        return all;
    }
}
