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
import plumpost.fleet.Entry.SessionId;
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
    private static final int MAX_CLAIMED = 64;

    private static final int MAX_SETTLED = 256;
    /** What this scheduler has released it does not claim again for so long. */
    private static final double CLAIM_PAUSE_MS = 1000;

    private static final byte[] EMPTY_RESULT = new byte[0];

    /** What is to be said of an order until the log shows it. */
    private record PendingReport(Event event, int lease, byte[] result) {}

    private final Member member;
    private final Host host;
    private final PeersConfig.Covered covered;
    private Holder holder;
    private final Map<String, Orders.Order> ownOrders = new LinkedHashMap<>();
    private final Set<String> pendingHolds = new LinkedHashSet<>();
    private final Set<String> held = new HashSet<>();
    private final TreeMap<Integer, Set<String>> freeByPriority = new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, Consumer<Boolean>> leaseRequests = new LinkedHashMap<>();
    /** Leases under which orders are out from here, over the ends of lives. */
    private final Map<String, Integer> grantedLeases = new HashMap<>();

    private final Map<String, PendingReport> pendingReports = new LinkedHashMap<>();
    private double nextStrayCheckMs;
    private boolean polling;
    private boolean pollAgain;
    private final Set<String> pendingReleases = new LinkedHashSet<>();
    private final Map<String, Double> claimPausedUntil = new HashMap<>();
    private final Map<String, Double> awaitedSince = new LinkedHashMap<>();
    private final Map<String, Double> endedSince = new LinkedHashMap<>();

    OrderRunner(Member member, Host host, PeersConfig.Covered covered) {
        this.member = member;
        this.host = host;
        this.covered = covered;
    }

    // ---- what the log says ----

    /** Builds what it keeps anew from the view. */
    void rebuild() {
        ownOrders.clear();
        pendingHolds.clear();
        freeByPriority.clear();
        awaitedSince.clear();
        endedSince.clear();
        member.state().orders().all().forEach(order -> changed(order, null));
    }

    /** An order stands so now. */
    void changed(Orders.Order current, Orders.Order previous) {
        String id = current.id();
        boolean known = member.state().orders().find(id) != null;
        boolean over = current.state().ended();
        boolean own = known && !over && current.state() != State.AWAITED && isOwn(current);
        if (own) {
            ownOrders.put(id, current);
        } else {
            ownOrders.remove(id);
        }
        setContains(
                pendingHolds,
                id,
                own && current.state() == State.TAKEN && !held.contains(id) && !pendingReleases.contains(id));
        setContains(
                freeByPriority.computeIfAbsent(current.priority(), p -> new LinkedHashSet<>()),
                id,
                known && Orders.isFree(current));
        setSince(awaitedSince, id, known && current.state() == State.AWAITED);
        setSince(endedSince, id, known && over);
        if (!own) {
            pendingReleases.remove(id);
        }
        PendingReport report = pendingReports.get(id);
        if (report != null && report.event == Event.DONE && report.lease == 0 && current.lease() > 0) {
            report = new PendingReport(
                    report.event,
                    current.lease(),
                    report.result); // it was heard before the copy here knew of its lease
            pendingReports.put(id, report);
        }
        if (report != null
                && (!known
                        || over && !(current.state() == State.UNKNOWN && report.event != Event.STALL)
                        || (report.event == Event.GIVE_UP
                                ? !own
                                : report.lease > 0
                                        && (current.lease() > report.lease || current.state() == State.TAKEN)))) {
            pendingReports.remove(id);
        }
        if (!known
                || over
                || current.state() == State.TAKEN
                || current.lease() != grantedLeases.getOrDefault(id, current.lease())) {
            grantedLeases.remove(id);
        }
        boolean granted = own && current.state() == State.LEASED && previous != null && previous.state() == State.TAKEN;
        Consumer<Boolean> callback = granted || !own ? leaseRequests.remove(id) : null;
        if (granted) {
            grantedLeases.put(id, current.lease());
            if (callback == null) {
                told(id, Word.HANDED_BACK, EMPTY_RESULT); // it was not wanted any more, and nobody has used it
            }
        }
        if (callback != null) {
            callback.accept(granted);
        }
        if (held.contains(id) && !own && !grantedLeases.containsKey(id)) {
            held.remove(id);
            holder.drop(id);
        }
        if (over && holder != null && (previous == null || !previous.state().ended())) {
            holder.ended(known(current, known));
        }
    }

    private boolean isOwn(Orders.Order order) {
        return order.holder().equals(member.name())
                && order.incarnation() == member.incarnation()
                && member.incarnation() > 0;
    }

    private static void setContains(Set<String> set, String id, boolean in) {
        if (in) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    private void setSince(Map<String, Double> map, String id, boolean in) {
        if (in) {
            map.putIfAbsent(id, member.nowMs());
        } else {
            map.remove(id);
        }
    }

    /** Its life is over: what no worker has is called back; what is out is still heard, under its lease. */
    void sessionEnded() {
        ownOrders.clear();
        pendingHolds.clear();
        pendingReleases.clear();
        List<Consumer<Boolean>> open = List.copyOf(leaseRequests.values());
        leaseRequests.clear();
        for (String id : List.copyOf(held)) {
            if (!grantedLeases.containsKey(id)) {
                held.remove(id);
                holder.drop(id);
            }
        }
        open.forEach(callback -> callback.accept(false));
    }

    /** Whether nothing is left here that is out or is to be said. */
    boolean finished() {
        return grantedLeases.isEmpty() && pendingReports.isEmpty();
    }

    // ---- what it does ----

    /** What is called meanwhile, as the core asks for a lease while it takes an order in, is looked at after it. */
    void poll() {
        pollAgain = true;
        if (polling || holder == null) {
            return;
        }
        polling = true;
        try {
            while (pollAgain) {
                pollAgain = false;
                pollOnce();
            }
        } finally {
            polling = false;
        }
    }

    private void pollOnce() {
        if (member.fence(FleetBook.LEDGER) > 0) {
            settleDue();
        }
        SessionId self = new SessionId(member.name(), member.incarnation());
        if (self.incarnation() > 0) {
            pendingReports.entrySet().stream()
                    .filter(entry -> entry.getValue().lease > 0 || entry.getValue().event == Event.GIVE_UP)
                    .toList()
                    .forEach(entry -> proposeReport(self, entry.getKey(), entry.getValue()));
        }
        if (!member.mayAct()) {
            return;
        }
        if (!pendingReleases.isEmpty()) {
            List<String> batch = pendingReleases.stream().limit(MAX_CLAIMED).toList();
            member.proposeOnce("release " + batch.get(0), new Entry.Release(self, batch), order -> {});
        }
        if (member.nowMs() >= nextStrayCheckMs) {
            nextStrayCheckMs = member.nowMs() + CLAIM_PAUSE_MS;
            releaseUnservable();
        }
        holdPending();
        leaseRequests.keySet().forEach(id -> {
            Orders.Order order = ownOrders.get(id);
            if (order != null && order.state() == State.TAKEN && !pendingReports.containsKey(id)) {
                member.proposeOnce(
                        "lease " + id + " " + order.lease(),
                        new Entry.Told(self, id, Event.LEASE, order.lease(), EMPTY_RESULT),
                        x -> {});
            }
        });
        claimFree(self);
    }

    private void proposeReport(SessionId self, String id, PendingReport report) {
        member.proposeOnce(
                "order " + id + report.event + report.lease,
                new Entry.Told(self, id, report.event, report.lease, report.result),
                outcome -> {
                    if (outcome != null && !outcome.done()) {
                        pendingReports.remove(
                                id, report); // it counts no more: the order is over, or under another lease
                    }
                });
    }

    /** What it holds and has no workers for goes to those who have. */
    private void releaseUnservable() {
        Collection<String> functions = host.functions();
        Set<String> elsewhere = new HashSet<>();
        member.state().sessions().all().stream()
                .filter(session -> session.state() == Sessions.State.ALIVE
                        && !session.name().equals(member.name()))
                .forEach(session -> elsewhere.addAll(session.functions()));
        int released = 0;
        for (Orders.Order order : ownOrders.values()) {
            if (order.state() == State.TAKEN
                    && !held.contains(order.id())
                    && !pendingReports.containsKey(order.id())
                    && !pendingReleases.contains(order.id())) {
                pendingHolds.add(order.id()); // what was given up here was refused by the log: it is still to be tried
            }
            if (order.state() == State.TAKEN
                    && !functions.contains(order.function())
                    && elsewhere.contains(order.function())
                    && !pendingReports.containsKey(order.id())
                    && released++ < MAX_SETTLED) {
                pendingReleases.add(order.id());
                pendingHolds.remove(order.id());
            }
        }
    }

    private void holdPending() {
        for (String id : List.copyOf(pendingHolds)) {
            Orders.Order order = ownOrders.get(id);
            if (order == null || !pendingHolds.remove(id)) {
                continue;
            }
            held.add(id);
            if (!holder.hold(new Ledger.Order(
                    order.id(),
                    order.function(),
                    order.unique(),
                    order.body(),
                    order.priority(),
                    order.patienceMs(),
                    order.repeatable(),
                    order.background()))) {
                told(id, Word.RELEASED, EMPTY_RESULT);
            }
        }
    }

    /** Takes over what nobody holds: each survivor with workers for it its part of the oldest and most urgent, by room. */
    private void claimFree(SessionId self) {
        int room = Math.min(MAX_CLAIMED, holder.room());
        if (room <= 0 || freeByPriority.values().stream().allMatch(Set::isEmpty)) {
            return;
        }
        double nowMs = member.nowMs();
        claimPausedUntil.values().removeIf(until -> until <= nowMs);
        Collection<String> functions = host.functions();
        Map<String, Integer> positions = new HashMap<>();
        List<String> ids = new ArrayList<>();
        for (Set<String> candidates : freeByPriority.values()) {
            for (String id : candidates) {
                Orders.Order order = member.state().orders().find(id);
                if (ids.size() >= room || !functions.contains(order.function()) || claimPausedUntil.containsKey(id)) {
                    continue;
                }
                List<String> able = member.state().sessions().all().stream()
                        .filter(session -> session.state() == Sessions.State.ALIVE
                                && session.functions().contains(order.function()))
                        .map(Session::name)
                        .toList();
                int position = positions.merge(order.function(), 1, Integer::sum) - 1;
                if (!able.isEmpty() && able.get(position % able.size()).equals(member.name())) {
                    ids.add(id);
                }
                if (position > MAX_CLAIMED * (able.size() + 1)) {
                    break;
                }
            }
        }
        if (!ids.isEmpty() && member.proposeOnce("claim " + ids.get(0), new Entry.Claim(self, ids), order -> {})) {
            member.count("orders_claimed");
            member.logLine("takes over up to " + ids.size() + " orders that nobody holds, from " + ids.get(0) + " on");
        }
    }

    private void settleDue() {
        List<String> givenUp = due(awaitedSince, covered.awaitMs());
        List<String> forgotten = due(endedSince, covered.keepMs());
        if (!givenUp.isEmpty() || !forgotten.isEmpty()) {
            String key = "settle " + (givenUp.isEmpty() ? forgotten.get(0) : givenUp.get(0));
            if (member.proposeOnce(
                            key, new Entry.Settle(member.fence(FleetBook.LEDGER), givenUp, forgotten), order -> {})
                    && !givenUp.isEmpty()) {
                member.logLine("gives up " + givenUp.size() + " orders whose worker was not heard for "
                        + Math.round(covered.awaitMs()) + " ms: " + givenUp.get(0)
                        + (givenUp.size() > 1 ? ", ..." : ""));
            }
        }
    }

    private List<String> due(Map<String, Double> since, double ageMs) {
        List<String> ids = new ArrayList<>();
        for (Map.Entry<String, Double> entry : since.entrySet()) {
            if (entry.getValue() + ageMs > member.nowMs() || ids.size() >= MAX_SETTLED) {
                break; // in the order in which they came
            }
            ids.add(entry.getKey());
        }
        return ids;
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
    public void take(Ledger.Order order, Consumer<Fleet.Said> callback) {
        if (!member.mayAct()) {
            callback.accept(new Fleet.Said(
                    false,
                    false,
                    member.stopping()
                            ? "this scheduler ends"
                            : "no majority of the fleet hears this scheduler; try again after "
                                    + Math.round(CLAIM_PAUSE_MS) + " ms"));
            return;
        }
        member.request(
                new Entry.Take(
                        new SessionId(member.name(), member.incarnation()),
                        order.id(),
                        order.function(),
                        order.unique(),
                        order.body(),
                        order.priority(),
                        order.patienceMs(),
                        order.repeatable(),
                        order.background()),
                callback);
    }

    private static Known known(Orders.Order order, boolean kept) {
        return new Known(
                order.id(),
                !kept
                        ? Stage.REFUSED
                        : switch (order.state()) {
                            case TAKEN -> Stage.HELD;
                            case SERVED -> Stage.SERVED;
                            case FAILED -> Stage.FAILED;
                            case UNKNOWN -> Stage.UNKNOWN;
                            default -> Stage.OUT;
                        },
                order.result());
    }

    @Override
    public Known known(String id) {
        Orders.Order order = member.state().orders().find(id);
        return order == null ? null : known(order, true);
    }

    @Override
    public Known known(String function, String unique) {
        Orders.Order order = member.state().orders().findByKey(function, unique);
        return order == null ? null : known(order, true);
    }

    @Override
    public void lease(String id, Consumer<Boolean> callback) {
        if (!ownOrders.containsKey(id)) {
            callback.accept(false);
        } else {
            leaseRequests.put(id, callback);
            poll();
        }
    }

    @Override
    public void tryAgain(String id) {
        Integer lease = grantedLeases.get(id);
        if (lease != null) {
            pendingReports.put(id, new PendingReport(Event.STALL, lease, EMPTY_RESULT));
            poll();
        }
    }

    @Override
    public void told(String id, Word report, byte[] result) {
        Orders.Order order = member.state().orders().find(id);
        Integer lease = grantedLeases.get(id);
        if (report != Word.HANDED_BACK) {
            held.remove(id);
            leaseRequests.remove(id);
        }
        if (order == null) {
            return;
        }
        if (report == Word.RELEASED) {
            pendingHolds.remove(id);
            pendingReleases.add(id);
            claimPausedUntil.put(id, member.nowMs() + CLAIM_PAUSE_MS);
        } else if (lease == null && (report == Word.STALLED || report == Word.GIVEN_UP || report == Word.FAILED)) {
            pendingReports.put(id, new PendingReport(Event.GIVE_UP, 0, EMPTY_RESULT));
        } else if (lease != null || report == Word.DONE) { // a worker that reports elsewhere has the latest lease
            pendingReports.put(
                    id,
                    new PendingReport(
                            switch (report) {
                                case HANDED_BACK -> Event.HANDED_BACK;
                                case DONE -> Event.DONE;
                                case FAILED -> Event.FAIL;
                                default -> Event.STALL;
                            },
                            lease != null ? lease : order.lease(),
                            result));
        }
        poll();
    }
}
