package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.SessionId;
import plumpost.peers.Fleet;
import plumpost.peers.Host;
import plumpost.peers.Ledger;

/**
 * Covered orders at one scheduler: passes its own orders to the front that holds them, requests leases, repeats reports
 * until the log shows them, claims orders of lost schedulers in batches as far as the front has capacity, and, as owner
 * of the ledger, gives up orders that have been awaited for long enough. What it does follows from its copy of the
 * replicated state, so that lost answers do no harm.
 */
final class OrderRunner implements Ledger {
    /** Maximum number of orders in one entry that claims or releases, and in one that settles. */
    private static final int MAX_CLAIMED = 64;

    private static final int MAX_SETTLED = 256;
    /** A released order is not claimed again for this long; also the interval of the check for unservable orders. */
    private static final double CLAIM_PAUSE_MS = 1000;

    private static final byte[] EMPTY_RESULT = new byte[0];

    /** A report on an order that is proposed until the log shows it. */
    private record PendingReport(Event event, int lease, byte[] result) {}

    private final Member member;
    private final Host host;
    private final PeersConfig.Covered covered;
    private Holder holder;
    private final Map<String, Orders.Order> ownOrders = new LinkedHashMap<>();
    private final Set<String> pendingHolds = new LinkedHashSet<>();
    private final Set<String> held = new HashSet<>();
    private final FreeOrders freeOrders;
    private final Map<String, Consumer<Boolean>> leaseRequests = new LinkedHashMap<>();
    /** Leases under which this scheduler has handed orders out; they outlast its sessions. */
    private final Map<String, Integer> grantedLeases = new HashMap<>();

    private final Map<String, PendingReport> pendingReports = new LinkedHashMap<>();
    private double nextStrayCheckMs;
    private boolean polling;
    private boolean pollAgain;
    private final Set<String> pendingReleases = new LinkedHashSet<>();
    private final Map<String, Double> awaitedSince = new LinkedHashMap<>();
    private final Map<String, Double> endedSince = new LinkedHashMap<>();

    OrderRunner(Member member, Host host, PeersConfig.Covered covered) {
        this.member = member;
        this.host = host;
        this.covered = covered;
        freeOrders = new FreeOrders(member);
    }

    // ---- changes of the replicated state ----

    /** Rebuilds its indexes from the replicated state. */
    void rebuild() {
        ownOrders.clear();
        pendingHolds.clear();
        freeOrders.clear();
        awaitedSince.clear();
        endedSince.clear();
        member.state().orders().all().forEach(order -> changed(order, null));
    }

    /** Handles a change of an order. */
    void changed(Orders.Order current, Orders.Order previous) {
        String id = current.id();
        boolean known = member.state().orders().find(id) != null;
        boolean ended = current.state().ended();
        boolean own = known && !ended && current.state() != State.AWAITED && isOwn(current);
        boolean free = known && Orders.isFree(current);
        if (previous == null && member.isAbandoned(id)) {
            withdraw(current, own, free);
        }
        index(current, known, own, free);
        updateReport(current, known, own);
        if (!known
                || ended
                || current.state() == State.TAKEN
                || current.lease() != grantedLeases.getOrDefault(id, current.lease())) {
            grantedLeases.remove(id);
        }
        boolean granted = own && current.state() == State.LEASED && previous != null && previous.state() == State.TAKEN;
        answerLeaseRequest(current, own, granted);
        if (held.contains(id) && !own && !grantedLeases.containsKey(id)) {
            held.remove(id);
            holder.drop(id);
        }
        if (ended && holder != null && (previous == null || !previous.state().ended())) {
            holder.ended(status(current, known));
        }
    }

    /** Gives up a new order whose client was told that the outcome is not known, and may have submitted it again. */
    private void withdraw(Orders.Order order, boolean own, boolean free) {
        if (own && order.state() == State.TAKEN) {
            member.count("orders_withdrawn");
            pendingReports.put(order.id(), new PendingReport(Event.GIVE_UP, 0, EMPTY_RESULT));
        } else if (free) {
            member.count("orders_withdrawn");
            cancel(order.id(), reply -> {});
        }
    }

    private void index(Orders.Order order, boolean known, boolean own, boolean free) {
        String id = order.id();
        if (own) {
            ownOrders.put(id, order);
        } else {
            ownOrders.remove(id);
        }
        boolean isToBeHeld = own
                && order.state() == State.TAKEN
                && !held.contains(id)
                && !pendingReleases.contains(id)
                && !member.isAbandoned(id);
        setContains(pendingHolds, id, isToBeHeld);
        freeOrders.set(order, free);
        setSince(awaitedSince, id, known && order.state() == State.AWAITED);
        setSince(endedSince, id, known && order.state().ended());
        if (!own) {
            pendingReleases.remove(id);
        }
    }

    /** Adapts the pending report of an order to its new state, and drops it once the log shows it or it is obsolete. */
    private void updateReport(Orders.Order order, boolean known, boolean own) {
        String id = order.id();
        PendingReport report = pendingReports.get(id);
        if (report == null) {
            return;
        }
        if (report.event == Event.DONE && report.lease == 0 && order.lease() > 0) {
            // The report came before the local copy of the state knew of the lease.
            report = new PendingReport(report.event, order.lease(), report.result);
            pendingReports.put(id, report);
        }
        boolean lateResult = order.state() == State.UNKNOWN && report.event != Event.STALL;
        boolean shown = report.event == Event.GIVE_UP
                ? !own
                : report.lease > 0 && (order.lease() > report.lease || order.state() == State.TAKEN);
        if (!known || order.state().ended() && !lateResult || shown) {
            pendingReports.remove(id);
        }
    }

    private void answerLeaseRequest(Orders.Order order, boolean own, boolean granted) {
        Consumer<Boolean> callback = granted || !own ? leaseRequests.remove(order.id()) : null;
        if (granted) {
            grantedLeases.put(order.id(), order.lease());
            if (callback == null) {
                report(order.id(), Report.HANDED_BACK, EMPTY_RESULT); // no longer requested, and unused
            }
        }
        if (callback != null) {
            callback.accept(granted);
        }
    }

    private boolean isOwn(Orders.Order order) {
        return order.holder().equals(member.name())
                && order.incarnation() == member.incarnation()
                && member.incarnation() > 0;
    }

    private static void setContains(Set<String> set, String id, boolean contained) {
        if (contained) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    private void setSince(Map<String, Double> map, String id, boolean contained) {
        if (contained) {
            map.putIfAbsent(id, member.nowMs());
        } else {
            map.remove(id);
        }
    }

    /** Handles the end of its session: drops orders that no worker has; reports on orders handed out still count. */
    void sessionEnded() {
        ownOrders.clear();
        pendingHolds.clear();
        pendingReleases.clear();
        List<Consumer<Boolean>> callbacks = List.copyOf(leaseRequests.values());
        leaseRequests.clear();
        for (String id : List.copyOf(held)) {
            if (!grantedLeases.containsKey(id)) {
                held.remove(id);
                holder.drop(id);
            }
        }
        callbacks.forEach(callback -> callback.accept(false));
    }

    /** Whether no order is handed out from here, no report is pending and no client here waits for an outcome. */
    boolean finished() {
        return grantedLeases.isEmpty() && pendingReports.isEmpty() && (holder == null || !holder.hasWaitingClients());
    }

    // ---- actions ----

    /** Proposes what is due. A call made meanwhile, as when the front requests a lease while it is given an order, polls again. */
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
        if (member.fence(FleetState.LEDGER) > 0) {
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
            member.proposeOnce("release " + batch.get(0), new Entry.Release(self, batch), outcome -> {});
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
                        outcome -> {});
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
                        // It is obsolete: the order is over, or under another lease.
                        pendingReports.remove(id, report);
                    }
                });
    }

    /** Releases orders that it has no workers for while another scheduler has; offers refused ones to the front again. */
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
                    && !member.isAbandoned(order.id())
                    && !pendingReports.containsKey(order.id())
                    && !pendingReleases.contains(order.id())) {
                // The log refused the report that gave it up: it is still to be tried.
                pendingHolds.add(order.id());
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
                    order.background(),
                    order.startMs()))) {
                report(id, Report.RELEASED, EMPTY_RESULT);
            }
        }
    }

    /** Claims its share of the free orders, up to the front's capacity. */
    private void claimFree(SessionId self) {
        int capacity = Math.min(MAX_CLAIMED, holder.capacity());
        List<String> ids = capacity <= 0 ? List.of() : freeOrders.select(capacity, host.functions());
        if (!ids.isEmpty() && member.proposeOnce("claim " + ids.get(0), new Entry.Claim(self, ids), outcome -> {})) {
            member.count("orders_claimed");
            member.logLine("claims up to " + ids.size() + " orders without a holder, the first is " + ids.get(0));
        }
    }

    private void settleDue() {
        List<String> givenUp = due(awaitedSince, covered.awaitMs());
        List<String> forgotten = due(endedSince, covered.keepMs());
        if (!givenUp.isEmpty() || !forgotten.isEmpty()) {
            String key = "settle " + (givenUp.isEmpty() ? forgotten.get(0) : givenUp.get(0));
            if (member.proposeOnce(
                            key, new Entry.Settle(member.fence(FleetState.LEDGER), givenUp, forgotten), outcome -> {})
                    && !givenUp.isEmpty()) {
                member.logLine("gives up " + givenUp.size() + " orders whose worker has not reported for "
                        + Math.round(covered.awaitMs()) + " ms: " + givenUp.get(0)
                        + (givenUp.size() > 1 ? ", ..." : ""));
            }
        }
    }

    private List<String> due(Map<String, Double> since, double ageMs) {
        List<String> ids = new ArrayList<>();
        for (Map.Entry<String, Double> entry : since.entrySet()) {
            if (entry.getValue() + ageMs > member.nowMs() || ids.size() >= MAX_SETTLED) {
                break; // the map is ordered by time
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
    public void setHolder(Holder front) {
        holder = front;
    }

    @Override
    public void take(Ledger.Order order, double limitMs, Consumer<Fleet.Reply> callback) {
        if (refuseIfInactive(callback)) {
            return;
        }
        SessionId self = new SessionId(member.name(), member.incarnation());
        Entry entry = order.startMs() > 0
                ? new Entry.TakeScheduled(
                        self,
                        order.id(),
                        order.function(),
                        order.unique(),
                        order.body(),
                        order.patienceMs(),
                        order.repeatable(),
                        order.startMs())
                : new Entry.Take(
                        self,
                        order.id(),
                        order.function(),
                        order.unique(),
                        order.body(),
                        order.priority(),
                        order.patienceMs(),
                        order.repeatable(),
                        order.background());
        member.request(entry, limitMs, callback);
    }

    /** Answers that nothing is proposed, and returns true, if this scheduler may not act for the fleet now. */
    private boolean refuseIfInactive(Consumer<Fleet.Reply> callback) {
        if (member.mayAct()) {
            return false;
        }
        callback.accept(
                member.stopping()
                        ? new Fleet.Reply(Fleet.Result.NOT_PROPOSED, "this scheduler ends")
                        : Member.noMajorityReply());
        return true;
    }

    @Override
    public boolean takesStartTimes() {
        return member.state().sessions().format() >= FleetCodec.FORMAT_WITH_START_TIMES;
    }

    @Override
    public List<String> scheduledIds() {
        return freeOrders.scheduledIds();
    }

    @Override
    public void cancel(String id, Consumer<Fleet.Reply> callback) {
        if (!refuseIfInactive(callback)) {
            SessionId self = new SessionId(member.name(), member.incarnation());
            member.requestFromOperator(new Entry.Told(self, id, Event.GIVE_UP, 0, EMPTY_RESULT), callback);
        }
    }

    private static OrderStatus status(Orders.Order order, boolean kept) {
        return new OrderStatus(
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
                order.startMs(),
                order.result());
    }

    @Override
    public OrderStatus status(String id) {
        Orders.Order order = member.state().orders().find(id);
        return order == null ? null : status(order, true);
    }

    @Override
    public OrderStatus status(String function, String unique) {
        Orders.Order order = member.state().orders().findByKey(function, unique);
        return order == null ? null : status(order, true);
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
    public void report(String id, Report report, byte[] result) {
        Orders.Order order = member.state().orders().find(id);
        Integer lease = grantedLeases.get(id);
        if (report != Report.HANDED_BACK) {
            held.remove(id);
            leaseRequests.remove(id);
        }
        if (order == null) {
            return;
        }
        if (report == Report.RELEASED) {
            pendingHolds.remove(id);
            pendingReleases.add(id);
            freeOrders.pause(id, CLAIM_PAUSE_MS);
        } else if (lease == null
                && (report == Report.STALLED || report == Report.GIVEN_UP || report == Report.FAILED)) {
            pendingReports.put(id, new PendingReport(Event.GIVE_UP, 0, EMPTY_RESULT));
        } else if (lease != null || report == Report.DONE) {
            // A result that arrives at another scheduler than the leaseholder counts for the latest lease.
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
