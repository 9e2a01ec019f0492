package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.By;
import plumpost.fleet.Sessions.Session;
import plumpost.peers.Fleet;
import plumpost.peers.Host;
import plumpost.peers.Ledger;

/**
 * Covered orders at one scheduler: it has its front hold what is its own, asks for leases, says what came of them until
 * the log has heard it, takes over what lost schedulers held, in pieces and by room, and as the ledger's owner gives up
 * what was awaited long enough. What it does follows from its copy of the book, so that lost answers do no harm.
 */
final class OrderRunner implements Ledger {
    /** Orders claimed at once, and settled at once. */
    private static final int MOST_CLAIMED = 64;

    private static final int MOST_SETTLED = 256;
    /** What this scheduler has released it does not claim again for so long. */
    private static final double PAUSE_MS = 1000;

    private static final byte[] NOTHING = new byte[0];

    /** What is to be said of an order until the log shows it. */
    private record Saying(Event event, int lease, byte[] result) {}

    private final Member member;
    private final Host host;
    private final PeersConfig.Covered covered;
    private Holder holder;
    private final Map<String, Orders.Order> mine = new LinkedHashMap<>();
    private final Set<String> toHold = new LinkedHashSet<>();
    private final Set<String> held = new HashSet<>();
    private final TreeMap<Integer, Set<String>> free = new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, Consumer<Boolean>> asked = new LinkedHashMap<>();
    /** Leases under which orders are out from here, over the ends of lives. */
    private final Map<String, Integer> rights = new HashMap<>();

    private final Map<String, Saying> words = new LinkedHashMap<>();
    private double strayAt;
    private boolean looking;
    private boolean again;
    private final Set<String> releases = new LinkedHashSet<>();
    private final Map<String, Double> paused = new HashMap<>();
    private final Map<String, Double> awaited = new LinkedHashMap<>();
    private final Map<String, Double> ended = new LinkedHashMap<>();

    OrderRunner(Member member, Host host, PeersConfig.Covered covered) {
        this.member = member;
        this.host = host;
        this.covered = covered;
    }

    // ---- what the log says ----

    /** Builds what it keeps anew from the view. */
    void rebuild() {
        mine.clear();
        toHold.clear();
        free.clear();
        awaited.clear();
        ended.clear();
        member.view().orders().all().forEach(o -> changed(o, null));
    }

    /** An order stands so now. */
    void changed(Orders.Order now, Orders.Order former) {
        String id = now.id();
        boolean known = member.view().orders().of(id) != null;
        boolean over = now.state().ended();
        boolean own = known && !over && now.state() != State.AWAITED && own(now);
        if (own) {
            mine.put(id, now);
        } else {
            mine.remove(id);
        }
        mark(toHold, id, own && now.state() == State.TAKEN && !held.contains(id) && !releases.contains(id));
        mark(free.computeIfAbsent(now.priority(), p -> new LinkedHashSet<>()), id, known && Orders.free(now));
        time(awaited, id, known && now.state() == State.AWAITED);
        time(ended, id, known && over);
        if (!own) {
            releases.remove(id);
        }
        Saying w = words.get(id);
        if (w != null && w.event == Event.DONE && w.lease == 0 && now.lease() > 0) {
            w = new Saying(w.event, now.lease(), w.result); // it was heard before the copy here knew of its lease
            words.put(id, w);
        }
        if (w != null
                && (!known
                        || over && !(now.state() == State.UNKNOWN && w.event != Event.STALL)
                        || (w.event == Event.GIVE_UP
                                ? !own
                                : w.lease > 0 && (now.lease() > w.lease || now.state() == State.TAKEN)))) {
            words.remove(id);
        }
        if (!known || over || now.state() == State.TAKEN || now.lease() != rights.getOrDefault(id, now.lease())) {
            rights.remove(id);
        }
        boolean granted = own && now.state() == State.LEASED && former != null && former.state() == State.TAKEN;
        Consumer<Boolean> then = granted || !own ? asked.remove(id) : null;
        if (granted) {
            rights.put(id, now.lease());
            if (then == null) {
                told(id, Word.HANDED_BACK, NOTHING); // it was not wanted any more, and nobody has used it
            }
        }
        if (then != null) {
            then.accept(granted);
        }
        if (held.contains(id) && !own && !rights.containsKey(id)) {
            held.remove(id);
            holder.drop(id);
        }
        if (over && holder != null && (former == null || !former.state().ended())) {
            holder.ended(known(now, known));
        }
    }

    private boolean own(Orders.Order o) {
        return o.holder().equals(member.name()) && o.incarnation() == member.incarnation() && member.incarnation() > 0;
    }

    private static void mark(Set<String> set, String id, boolean in) {
        if (in) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    private void time(Map<String, Double> map, String id, boolean in) {
        if (in) {
            map.putIfAbsent(id, member.nowMs());
        } else {
            map.remove(id);
        }
    }

    /** Its life is over: what no worker has is called back; what is out is still heard, under its lease. */
    void forget() {
        mine.clear();
        toHold.clear();
        releases.clear();
        List<Consumer<Boolean>> open = List.copyOf(asked.values());
        asked.clear();
        for (String id : List.copyOf(held)) {
            if (!rights.containsKey(id)) {
                held.remove(id);
                holder.drop(id);
            }
        }
        open.forEach(then -> then.accept(false));
    }

    /** Whether nothing is left here that is out or is to be said. */
    boolean done() {
        return rights.isEmpty() && words.isEmpty();
    }

    // ---- what it does ----

    /** What is called meanwhile, as the core asks for a lease while it takes an order in, is looked at after it. */
    void look() {
        again = true;
        if (looking || holder == null) {
            return;
        }
        looking = true;
        try {
            while (again) {
                again = false;
                lookOnce();
            }
        } finally {
            looking = false;
        }
    }

    private void lookOnce() {
        if (member.fence(FleetBook.LEDGER) > 0) {
            settle();
        }
        By me = new By(member.name(), member.incarnation());
        if (me.incarnation() > 0) {
            words.entrySet().stream()
                    .filter(e -> e.getValue().lease > 0 || e.getValue().event == Event.GIVE_UP)
                    .toList()
                    .forEach(e -> say(me, e.getKey(), e.getValue()));
        }
        if (!member.mayAct()) {
            return;
        }
        if (!releases.isEmpty()) {
            List<String> some = releases.stream().limit(MOST_CLAIMED).toList();
            member.once("release " + some.get(0), new Entry.Release(me, some), o -> {});
        }
        if (member.nowMs() >= strayAt) {
            strayAt = member.nowMs() + PAUSE_MS;
            strays();
        }
        hold();
        asked.keySet().forEach(id -> {
            Orders.Order o = mine.get(id);
            if (o != null && o.state() == State.TAKEN && !words.containsKey(id)) {
                member.once(
                        "lease " + id + " " + o.lease(),
                        new Entry.Told(me, id, Event.LEASE, o.lease(), NOTHING),
                        x -> {});
            }
        });
        claim(me);
    }

    private void say(By me, String id, Saying w) {
        member.once("order " + id + w.event + w.lease, new Entry.Told(me, id, w.event, w.lease, w.result), o -> {
            if (o != null && !o.done()) {
                words.remove(id, w); // it counts no more: the order is over, or under another lease
            }
        });
    }

    /** What it holds and has no workers for goes to those who have. */
    private void strays() {
        Collection<String> functions = host.functions();
        Set<String> elsewhere = new HashSet<>();
        member.view().sessions().all().stream()
                .filter(s -> s.state() == Sessions.State.ALIVE && !s.name().equals(member.name()))
                .forEach(s -> elsewhere.addAll(s.functions()));
        int n = 0;
        for (Orders.Order o : mine.values()) {
            if (o.state() == State.TAKEN
                    && !held.contains(o.id())
                    && !words.containsKey(o.id())
                    && !releases.contains(o.id())) {
                toHold.add(o.id()); // what was given up here was refused by the log: it is still to be tried
            }
            if (o.state() == State.TAKEN
                    && !functions.contains(o.function())
                    && elsewhere.contains(o.function())
                    && !words.containsKey(o.id())
                    && n++ < MOST_SETTLED) {
                releases.add(o.id());
                toHold.remove(o.id());
            }
        }
    }

    private void hold() {
        for (String id : List.copyOf(toHold)) {
            Orders.Order o = mine.get(id);
            if (o == null || !toHold.remove(id)) {
                continue;
            }
            held.add(id);
            if (!holder.hold(new Ledger.Order(
                    o.id(),
                    o.function(),
                    o.unique(),
                    o.body(),
                    o.priority(),
                    o.patienceMs(),
                    o.again(),
                    o.background()))) {
                told(id, Word.RELEASED, NOTHING);
            }
        }
    }

    /** Takes over what nobody holds: each survivor with workers for it its part of the oldest and most urgent, by room. */
    private void claim(By me) {
        int room = Math.min(MOST_CLAIMED, holder.room());
        if (room <= 0 || free.values().stream().allMatch(Set::isEmpty)) {
            return;
        }
        double now = member.nowMs();
        paused.values().removeIf(until -> until <= now);
        Collection<String> functions = host.functions();
        Map<String, Integer> turn = new HashMap<>();
        List<String> ids = new ArrayList<>();
        for (Set<String> some : free.values()) {
            for (String id : some) {
                Orders.Order o = member.view().orders().of(id);
                if (ids.size() >= room || !functions.contains(o.function()) || paused.containsKey(id)) {
                    continue;
                }
                List<String> able = member.view().sessions().all().stream()
                        .filter(s -> s.state() == Sessions.State.ALIVE
                                && s.functions().contains(o.function()))
                        .map(Session::name)
                        .toList();
                int at = turn.merge(o.function(), 1, Integer::sum) - 1;
                if (!able.isEmpty() && able.get(at % able.size()).equals(member.name())) {
                    ids.add(id);
                }
                if (at > MOST_CLAIMED * (able.size() + 1)) {
                    break;
                }
            }
        }
        if (!ids.isEmpty() && member.once("claim " + ids.get(0), new Entry.Claim(me, ids), o -> {})) {
            member.count("orders_claimed");
            member.say("takes over up to " + ids.size() + " orders that nobody holds, from " + ids.get(0) + " on");
        }
    }

    private void settle() {
        List<String> given = due(awaited, covered.awaitMs());
        List<String> forgotten = due(ended, covered.keepMs());
        if (!given.isEmpty() || !forgotten.isEmpty()) {
            String mark = "settle " + (given.isEmpty() ? forgotten.get(0) : given.get(0));
            if (member.once(mark, new Entry.Settle(member.fence(FleetBook.LEDGER), given, forgotten), o -> {})
                    && !given.isEmpty()) {
                member.say("gives up " + given.size() + " orders whose worker was not heard for "
                        + Math.round(covered.awaitMs()) + " ms: " + given.get(0) + (given.size() > 1 ? ", ..." : ""));
            }
        }
    }

    private List<String> due(Map<String, Double> since, double ms) {
        List<String> all = new ArrayList<>();
        for (Map.Entry<String, Double> e : since.entrySet()) {
            if (e.getValue() + ms > member.nowMs() || all.size() >= MOST_SETTLED) {
                break; // in the order in which they came
            }
            all.add(e.getKey());
        }
        return all;
    }

    // ---- Ledger ----

    @Override
    public boolean covers(String className) {
        return covered.classes().contains(className);
    }

    @Override
    public void at(Holder front) {
        holder = front;
    }

    @Override
    public void take(Ledger.Order o, Consumer<Fleet.Said> then) {
        if (!member.mayAct()) {
            then.accept(new Fleet.Said(
                    false,
                    false,
                    member.stopping()
                            ? "this scheduler ends"
                            : "no majority of the fleet hears this scheduler; try again after " + Math.round(PAUSE_MS)
                                    + " ms"));
            return;
        }
        member.wish(
                new Entry.Take(
                        new By(member.name(), member.incarnation()),
                        o.id(),
                        o.function(),
                        o.unique(),
                        o.body(),
                        o.priority(),
                        o.patienceMs(),
                        o.again(),
                        o.background()),
                then);
    }

    private static Known known(Orders.Order o, boolean kept) {
        return new Known(
                o.id(),
                !kept
                        ? Stage.REFUSED
                        : switch (o.state()) {
                            case TAKEN -> Stage.HELD;
                            case SERVED -> Stage.SERVED;
                            case FAILED -> Stage.FAILED;
                            case UNKNOWN -> Stage.UNKNOWN;
                            default -> Stage.OUT;
                        },
                o.result());
    }

    @Override
    public Known known(String id) {
        Orders.Order o = member.view().orders().of(id);
        return o == null ? null : known(o, true);
    }

    @Override
    public Known known(String function, String unique) {
        Orders.Order o = member.view().orders().under(function, unique);
        return o == null ? null : known(o, true);
    }

    @Override
    public void lease(String id, Consumer<Boolean> then) {
        if (!mine.containsKey(id)) {
            then.accept(false);
        } else {
            asked.put(id, then);
            look();
        }
    }

    @Override
    public void tryAgain(String id) {
        Integer lease = rights.get(id);
        if (lease != null) {
            words.put(id, new Saying(Event.STALL, lease, NOTHING));
            look();
        }
    }

    @Override
    public void told(String id, Word word, byte[] result) {
        Orders.Order o = member.view().orders().of(id);
        Integer lease = rights.get(id);
        if (word != Word.HANDED_BACK) {
            held.remove(id);
            asked.remove(id);
        }
        if (o == null) {
            return;
        }
        if (word == Word.RELEASED) {
            toHold.remove(id);
            releases.add(id);
            paused.put(id, member.nowMs() + PAUSE_MS);
        } else if (lease == null && (word == Word.STALLED || word == Word.GIVEN_UP || word == Word.FAILED)) {
            words.put(id, new Saying(Event.GIVE_UP, 0, NOTHING));
        } else if (lease != null || word == Word.DONE) { // a worker that reports elsewhere has the latest lease
            words.put(
                    id,
                    new Saying(
                            switch (word) {
                                case HANDED_BACK -> Event.HANDED_BACK;
                                case DONE -> Event.DONE;
                                case FAILED -> Event.FAIL;
                                default -> Event.STALL;
                            },
                            lease != null ? lease : o.lease(),
                            result));
        }
        look();
    }
}
