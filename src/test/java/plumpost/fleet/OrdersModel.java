package plumpost.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.By;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Orders.Order;

/**
 * A small model checker of the ledger and of those who act by it: three schedulers and one or two orders, breadth first,
 * each state once. What a scheduler proposes may rest on a view as old as it likes, of any of its lives, so that pauses,
 * cuts and messages that are late or lost are all the same here: every such entry may be applied at any moment. A right
 * to hand an order out is used at any later moment, or never; any life may be called lost, rightly or not, or crash with
 * all that it remembers; a worker reports at any scheduler, or never.
 */
final class OrdersModel {
    /** How the schedulers or the ledger may be broken on purpose. */
    enum Broken {
        NOTHING,
        HANDED_OUT_WHEN_ASKED,
        LEASED_IS_FREE_WHEN_LOST,
        CLAIM_TAKES_WHAT_IS_HELD,
        OLD_LEASE_HANDS_BACK,
        AWAITED_IS_HANDED_OUT_AGAIN
    }

    private static final String[] NAMES = {"a", "b", "c"};
    private static final byte[] NOTHING = new byte[0];

    /** The right to hand an order out, under a lease, that a scheduler remembers. */
    private record Right(int by, int order, int lease) {}

    private static final class World {
        FleetBook.Image book;
        /** The incarnations of each scheduler's lives, the present one last. */
        List<List<Long>> lives = new ArrayList<>();

        List<Right> rights = new ArrayList<>();
        /** Leases that their scheduler gives back unused, and has not been heard yet. */
        List<Right> back = new ArrayList<>();
        /** Leases under which a worker has run the order and has told nobody yet. */
        List<Right> untold = new ArrayList<>();

        int[] runs;
        int losses;
        int crashes;
        String broken;

        World copy() {
            World w = new World();
            w.book = book;
            lives.forEach(l -> w.lives.add(new ArrayList<>(l)));
            w.rights = new ArrayList<>(rights);
            w.back = new ArrayList<>(back);
            w.untold = new ArrayList<>(untold);
            w.runs = runs.clone();
            w.losses = losses;
            w.crashes = crashes;
            return w;
        }

        String key() {
            StringBuilder k = new StringBuilder();
            book.orders()
                    .orders()
                    .forEach(o -> k.append(o.state().ordinal())
                            .append(o.holder())
                            .append(o.incarnation())
                            .append('/')
                            .append(o.lease())
                            .append(' '));
            book.sessions()
                    .sessions()
                    .forEach(x -> k.append(x.incarnation())
                            .append(x.state().ordinal())
                            .append(' '));
            book.duties()
                    .duties()
                    .forEach(d -> k.append(d.owner()).append(d.fence()).append(' '));
            for (List<Right> l : List.of(rights, back, untold)) {
                l.stream()
                        .map(r -> r.by + "." + r.order + "." + r.lease + " ")
                        .sorted()
                        .forEach(k::append);
                k.append('|');
            }
            for (int r : runs) {
                k.append(r);
            }
            return k.append(losses).append(crashes).toString();
        }
    }

    private final Broken how;
    private final boolean again;
    private final int orders;
    private final int losses;
    private final int crashes;
    private final int leases;
    private final Set<String> seen = new HashSet<>();
    private final ArrayDeque<World> next = new ArrayDeque<>();
    int moves;
    String found;
    final Set<String> reached = new HashSet<>();

    /** Explores with at most so many lives called lost, crashes, and leases an order. */
    OrdersModel(Broken how, boolean again, int orders, int losses, int crashes, int leases) {
        this.how = how;
        this.again = again;
        this.orders = orders;
        this.losses = losses;
        this.crashes = crashes;
        this.leases = leases;
    }

    int states() {
        return seen.size();
    }

    private static FleetBook book(World w) {
        FleetBook b = new FleetBook();
        b.restore(w.book);
        return b;
    }

    private static String id(int o) {
        return "o" + o;
    }

    void explore() {
        World w = new World();
        FleetBook b = new FleetBook();
        for (int i = 0; i < NAMES.length; i++) {
            w.lives.add(new ArrayList<>(
                    List.of(b.apply(join(i, 0), 1, new ArrayList<>()).number())));
        }
        for (int o = 0; o < orders; o++) {
            b.apply(
                    new Entry.Take(
                            new By(NAMES[o], w.lives.get(o).get(0)),
                            id(o),
                            "f",
                            "k" + o,
                            NOTHING,
                            0,
                            1000,
                            again,
                            true),
                    1,
                    new ArrayList<>());
        }
        w.runs = new int[orders];
        w.book = b.image();
        add(w);
        while (!next.isEmpty() && found == null) {
            steps(next.poll());
        }
    }

    private static Entry.Join join(int i, int life) {
        return new Entry.Join(NAMES[i], "", "disk" + i, true, "n" + life, 1, List.of(new Offer(FleetBook.LEDGER, "")));
    }

    private void add(World w) {
        moves++;
        if (w.broken != null && found == null) {
            found = w.broken;
        }
        if (seen.add(w.key())) {
            next.add(w);
        }
    }

    private void steps(World w) {
        FleetBook b = book(w);
        for (int i = 0; i < NAMES.length; i++) {
            for (long life : w.lives.get(i)) {
                for (int o = 0; o < orders; o++) {
                    says(w, b, i, life, o);
                }
            }
            long now = w.lives.get(i).get(w.lives.get(i).size() - 1);
            boolean live = b.sessions().live(NAMES[i], now);
            if (w.losses < losses && live) {
                World n = w.copy();
                n.losses++;
                apply(n, new Entry.Judge(NAMES[i], now, Entry.Verdict.LOST, 1), -1);
                add(n);
            }
            if (!live
                    || w.crashes
                            < crashes) { // one that was called lost may go on with what it remembers, or begin anew
                World n = w.copy();
                int who = i;
                n.crashes += live ? 1 : 0;
                if (live) {
                    n.rights.removeIf(r -> r.by == who);
                }
                n.lives.get(i).add(apply(n, join(i, n.lives.get(i).size()), -1).number());
                add(n);
            }
        }
        for (Right r : w.rights) {
            World n = w.copy();
            n.rights.remove(r);
            runs(n, r);
            World unused = w.copy();
            unused.rights.remove(r);
            if (!unused.back.contains(r)) {
                unused.back.add(r);
            }
            add(unused);
        }
        for (Right r : w.back) {
            told(w.copy(), r.by, r, Event.HANDED_BACK); // and it may come again, since who proposed it heard no answer
        }
        for (Right r : w.untold) {
            for (int i = 0; i < NAMES.length; i++) { // its worker reports, wherever it now is
                World n = w.copy();
                n.untold.remove(r);
                told(n, i, r, Event.DONE);
            }
        }
        for (Duties.Duty d : b.duties().all()) {
            for (long fence = Math.max(1, d.fence() - 1);
                    fence <= d.fence();
                    fence++) { // the owner, and the one before
                World n = w.copy();
                apply(n, new Entry.Settle(fence, List.of(id(0), id(orders - 1)), List.of()), -1);
                add(n);
            }
        }
    }

    /** What a life may propose of an order, as far back as its view may be. */
    private void says(World w, FleetBook b, int i, long life, int o) {
        By me = new By(NAMES[i], life);
        Order order = b.orders().of(id(o));
        for (Entry e : List.of(new Entry.Claim(me, List.of(id(o))), new Entry.Release(me, List.of(id(o))))) {
            World n = w.copy();
            apply(n, e, -1);
            add(n);
        }
        for (int lease = Math.max(0, order.lease() - 1); lease <= order.lease() && order.lease() < leases; lease++) {
            World n = w.copy();
            apply(n, new Entry.Told(me, id(o), Event.LEASE, lease, NOTHING), i);
            add(n);
        }
        if (order.heldBy(me)
                && order.state() == State.LEASED
                && w.rights.stream().noneMatch(r -> r.order == o)) {
            World n = w.copy();
            told(n, i, new Right(i, o, order.lease()), Event.STALL);
        }
        if (how == Broken.HANDED_OUT_WHEN_ASKED && order.state() == State.TAKEN && order.heldBy(me)) {
            runs(w.copy(), new Right(i, o, order.lease() + 1));
        }
    }

    private void told(World n, int by, Right r, Event event) {
        List<Long> lives = n.lives.get(by);
        apply(
                n,
                new Entry.Told(new By(NAMES[by], lives.get(lives.size() - 1)), id(r.order), event, r.lease, NOTHING),
                -1);
        add(n);
    }

    /** A worker gets the order and runs it; what it then tells, and where, is another step. */
    private void runs(World n, Right r) {
        n.runs[r.order] = Math.min(3, n.runs[r.order] + 1);
        if (n.untold.size() < 2) {
            n.untold.add(r);
        }
        check(n, again || n.runs[r.order] <= 1, "an order ran twice");
        add(n);
    }

    private Outcome apply(World n, Entry e, int leaser) {
        FleetBook before = book(n);
        FleetBook b = book(n);
        if (how == Broken.OLD_LEASE_HANDS_BACK && e instanceof Entry.Told t && t.event() == Event.HANDED_BACK) {
            e = new Entry.Told(t.by(), t.id(), t.event(), b.orders().of(t.id()).lease(), NOTHING);
        }
        Outcome o = b.apply(e, 1, new ArrayList<>());
        n.book = how == Broken.NOTHING ? b.image() : spoilt(before, b.image(), e);
        if (o.done() && leaser >= 0 && e instanceof Entry.Told t) {
            n.rights.add(new Right(leaser, Integer.parseInt(t.id().substring(1)), (int) o.number()));
        }
        rules(n, before, book(n), e, o);
        return o;
    }

    /** The book as a broken ledger would leave it. */
    private FleetBook.Image spoilt(FleetBook before, FleetBook.Image after, Entry e) {
        List<Order> all = new ArrayList<>();
        for (Order o : after.orders().orders()) {
            Order old = before.orders().of(o.id());
            if (how == Broken.LEASED_IS_FREE_WHEN_LOST && o.state() == State.AWAITED && old.state() == State.LEASED) {
                o = o.in(State.TAKEN, o.lease(), NOTHING).heldBy("", 0);
            } else if (how == Broken.AWAITED_IS_HANDED_OUT_AGAIN
                    && e instanceof Entry.Settle
                    && o.state() == State.UNKNOWN) {
                o = o.in(State.TAKEN, o.lease(), NOTHING).heldBy("", 0);
            } else if (how == Broken.CLAIM_TAKES_WHAT_IS_HELD
                    && e instanceof Entry.Claim c
                    && c.ids().contains(o.id())
                    && old.state() == State.LEASED) {
                o = old.in(State.TAKEN, old.lease(), NOTHING).heldBy(c.by().name(), c.by().incarnation());
            }
            all.add(o);
        }
        return new FleetBook.Image(
                after.sessions(), after.duties(), after.plans(), after.bans(), after.words(), new Orders.Image(all));
    }

    private void rules(World n, FleetBook before, FleetBook after, Entry e, Outcome o) {
        for (Order order : after.orders().all()) {
            Order old = before.orders().of(order.id());
            int at = Integer.parseInt(order.id().substring(1));
            check(n, again || order.state() != State.TAKEN || n.runs[at] == 0, "an order that ran waits");
            check(n, order.lease() >= old.lease(), "a lease went back");
            check(n, order.lease() <= Orders.MOST_LEASES, "too many attempts");
            check(
                    n,
                    order.state() != State.TAKEN
                            || order.holder().isEmpty()
                            || after.sessions().live(order.holder(), order.incarnation()),
                    "a lost life holds an order");
            check(
                    n,
                    !old.state().ended()
                            || order.state() == old.state()
                            || old.state() == State.UNKNOWN && order.state().ended(),
                    "a final answer changed");
            if (order.state() != old.state()) {
                reached.add(old.state() + " to " + order.state());
            }
            if (!order.holder().equals(old.holder()) && old.holder().isEmpty()) {
                reached.add("claimed");
            }
        }
        check(n, after.orders().all().size() == orders, "an order is lost");
        if (!o.done() && e instanceof Entry.Told t) {
            reached.add(t.event() + " refused");
        } else if (!o.done()) {
            reached.add(e.getClass().getSimpleName() + " refused");
        }
    }

    private static void check(World w, boolean holds, String words) {
        w.broken = w.broken == null && !holds ? words : w.broken;
    }
}
