package plumpost.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.SessionId;
import plumpost.fleet.Orders.Order;

/**
 * A small model checker of the ledger and of the schedulers that act on it. It explores three schedulers and one or two
 * orders, breadth first and each state once. A scheduler may propose entries from an arbitrarily old copy of the state
 * and from any of its sessions, which covers pauses, partitions and late or lost messages alike: every such entry may be
 * applied at any moment. A lease is used at any later moment or never; any session may be marked as lost, rightly or not,
 * or crash and lose its memory; a worker reports to any scheduler, or never.
 */
final class OrdersModel {
    /** Faults that can be injected into the schedulers or the ledger. */
    enum Fault {
        NOTHING,
        HANDED_OUT_WHEN_ASKED,
        LEASED_IS_FREE_WHEN_LOST,
        CLAIM_TAKES_WHAT_IS_HELD,
        OLD_LEASE_HANDS_BACK,
        AWAITED_IS_HANDED_OUT_AGAIN
    }

    private static final String[] NAMES = {"a", "b", "c"};
    private static final byte[] EMPTY = new byte[0];

    /** A lease that a scheduler remembers: the right to hand an order out. */
    private record Lease(int scheduler, int order, int number) {}

    private static final class World {
        FleetState.Snapshot state;
        /** By scheduler, the incarnations of its sessions, the present one last. */
        List<List<Long>> incarnations = new ArrayList<>();

        List<Lease> leases = new ArrayList<>();
        /** Leases that their scheduler returns unused; the report may be applied at any moment. */
        List<Lease> returnedLeases = new ArrayList<>();
        /** Leases under which a worker has run the order and has not reported it. */
        List<Lease> unreportedRuns = new ArrayList<>();

        int[] runs;
        int losses;
        int crashes;
        String violation;

        World copy() {
            World copy = new World();
            copy.state = state;
            incarnations.forEach(l -> copy.incarnations.add(new ArrayList<>(l)));
            copy.leases = new ArrayList<>(leases);
            copy.returnedLeases = new ArrayList<>(returnedLeases);
            copy.unreportedRuns = new ArrayList<>(unreportedRuns);
            copy.runs = runs.clone();
            copy.losses = losses;
            copy.crashes = crashes;
            return copy;
        }

        String key() {
            StringBuilder key = new StringBuilder();
            state.orders()
                    .orders()
                    .forEach(order -> key.append(order.state().ordinal())
                            .append(order.holder())
                            .append(order.incarnation())
                            .append('/')
                            .append(order.lease())
                            .append(' '));
            state.sessions()
                    .sessions()
                    .forEach(session -> key.append(session.incarnation())
                            .append(session.state().ordinal())
                            .append(' '));
            state.duties()
                    .duties()
                    .forEach(d -> key.append(d.owner()).append(d.fence()).append(' '));
            for (List<Lease> list : List.of(leases, returnedLeases, unreportedRuns)) {
                list.stream()
                        .map(lease -> lease.scheduler + "." + lease.order + "." + lease.number + " ")
                        .sorted()
                        .forEach(key::append);
                key.append('|');
            }
            for (int runCount : runs) {
                key.append(runCount);
            }
            return key.append(losses).append(crashes).toString();
        }
    }

    private final Fault fault;
    private final boolean repeatable;
    private final int orderCount;
    private final int maxLosses;
    private final int maxCrashes;
    private final int maxLeases;
    private final Set<String> visited = new HashSet<>();
    private final ArrayDeque<World> frontier = new ArrayDeque<>();
    int moves;
    String violation;
    final Set<String> reached = new HashSet<>();

    /** Explores with at most so many sessions marked as lost, crashes, and leases per order. */
    OrdersModel(Fault fault, boolean repeatable, int orderCount, int maxLosses, int maxCrashes, int maxLeases) {
        this.fault = fault;
        this.repeatable = repeatable;
        this.orderCount = orderCount;
        this.maxLosses = maxLosses;
        this.maxCrashes = maxCrashes;
        this.maxLeases = maxLeases;
    }

    int stateCount() {
        return visited.size();
    }

    private static FleetState restoreState(World world) {
        FleetState restored = new FleetState();
        restored.restore(world.state);
        return restored;
    }

    private static String id(int index) {
        return "o" + index;
    }

    void explore() {
        World world = new World();
        FleetState initial = new FleetState();
        for (int scheduler = 0; scheduler < NAMES.length; scheduler++) {
            world.incarnations.add(new ArrayList<>(List.of(
                    initial.apply(join(scheduler, 0), 1, new ArrayList<>()).number())));
        }
        for (int index = 0; index < orderCount; index++) {
            initial.apply(
                    new Entry.Take(
                            new SessionId(
                                    NAMES[index], world.incarnations.get(index).get(0)),
                            id(index),
                            "f",
                            "k" + index,
                            EMPTY,
                            0,
                            1000,
                            repeatable,
                            true),
                    1,
                    new ArrayList<>());
        }
        world.runs = new int[orderCount];
        world.state = initial.snapshot();
        visit(world);
        while (!frontier.isEmpty() && violation == null) {
            expand(frontier.poll());
        }
    }

    private static Entry.Join join(int scheduler, int processNumber) {
        return new Entry.Join(
                NAMES[scheduler],
                "",
                "disk" + scheduler,
                true,
                "n" + processNumber,
                1,
                List.of(new Offer(FleetState.LEDGER, "")));
    }

    private void visit(World world) {
        moves++;
        if (world.violation != null && violation == null) {
            violation = world.violation;
        }
        if (visited.add(world.key())) {
            frontier.add(world);
        }
    }

    private void expand(World world) {
        FleetState state = restoreState(world);
        for (int scheduler = 0; scheduler < NAMES.length; scheduler++) {
            for (long incarnation : world.incarnations.get(scheduler)) {
                for (int index = 0; index < orderCount; index++) {
                    proposeAll(world, state, scheduler, incarnation, index);
                }
            }
            long incarnation = world.incarnations
                    .get(scheduler)
                    .get(world.incarnations.get(scheduler).size() - 1);
            boolean live = state.sessions().live(NAMES[scheduler], incarnation);
            if (world.losses < maxLosses && live) {
                World next = world.copy();
                next.losses++;
                apply(next, new Entry.Judge(NAMES[scheduler], incarnation, Entry.Verdict.LOST, 1), -1);
                visit(next);
            }
            // A session marked as lost may go on with the leases that it remembers, or be followed by a new one.
            if (!live || world.crashes < maxCrashes) {
                World next = world.copy();
                int crashed = scheduler;
                next.crashes += live ? 1 : 0;
                if (live) {
                    next.leases.removeIf(lease -> lease.scheduler == crashed);
                }
                next.incarnations
                        .get(scheduler)
                        .add(apply(
                                        next,
                                        join(
                                                scheduler,
                                                next.incarnations.get(scheduler).size()),
                                        -1)
                                .number());
                visit(next);
            }
        }
        for (Lease lease : world.leases) {
            World next = world.copy();
            next.leases.remove(lease);
            run(next, lease);
            World unused = world.copy();
            unused.leases.remove(lease);
            if (!unused.returnedLeases.contains(lease)) {
                unused.returnedLeases.add(lease);
            }
            visit(unused);
        }
        for (Lease lease : world.returnedLeases) {
            // It stays in the list: a scheduler that receives no answer repeats its report.
            report(world.copy(), lease.scheduler, lease, Event.HANDED_BACK);
        }
        for (Lease lease : world.unreportedRuns) {
            for (int scheduler = 0; scheduler < NAMES.length; scheduler++) { // its worker reports to any scheduler
                World next = world.copy();
                next.unreportedRuns.remove(lease);
                report(next, scheduler, lease, Event.DONE);
            }
        }
        for (Duties.Duty duty : state.duties().all()) {
            // Settled by the owner, and by the one before it.
            for (long fence = Math.max(1, duty.fence() - 1); fence <= duty.fence(); fence++) {
                World next = world.copy();
                apply(next, new Entry.Settle(fence, List.of(id(0), id(orderCount - 1)), List.of()), -1);
                visit(next);
            }
        }
    }

    /** Applies everything that a session may propose on an order, whatever the age of its copy of the state. */
    private void proposeAll(World world, FleetState state, int scheduler, long incarnation, int index) {
        SessionId session = new SessionId(NAMES[scheduler], incarnation);
        Order order = state.orders().find(id(index));
        for (Entry entry :
                List.of(new Entry.Claim(session, List.of(id(index))), new Entry.Release(session, List.of(id(index))))) {
            World next = world.copy();
            apply(next, entry, -1);
            visit(next);
        }
        for (int lease = Math.max(0, order.lease() - 1); lease <= order.lease() && order.lease() < maxLeases; lease++) {
            World next = world.copy();
            apply(next, new Entry.Told(session, id(index), Event.LEASE, lease, EMPTY), scheduler);
            visit(next);
        }
        if (order.isHeldBy(session)
                && order.state() == State.LEASED
                && world.leases.stream().noneMatch(lease -> lease.order == index)) {
            World next = world.copy();
            report(next, scheduler, new Lease(scheduler, index, order.lease()), Event.STALL);
        }
        if (fault == Fault.HANDED_OUT_WHEN_ASKED && order.state() == State.TAKEN && order.isHeldBy(session)) {
            run(world.copy(), new Lease(scheduler, index, order.lease() + 1));
        }
    }

    private void report(World next, int reporter, Lease lease, Event event) {
        List<Long> incarnations = next.incarnations.get(reporter);
        apply(
                next,
                new Entry.Told(
                        new SessionId(NAMES[reporter], incarnations.get(incarnations.size() - 1)),
                        id(lease.order),
                        event,
                        lease.number,
                        EMPTY),
                -1);
        visit(next);
    }

    /** A worker gets the order and runs it; its report is a separate step. */
    private void run(World next, Lease lease) {
        next.runs[lease.order] = Math.min(3, next.runs[lease.order] + 1);
        if (next.unreportedRuns.size() < 2) {
            next.unreportedRuns.add(lease);
        }
        check(next, repeatable || next.runs[lease.order] <= 1, "an order ran twice");
        visit(next);
    }

    private Outcome apply(World next, Entry entry, int leaser) {
        FleetState before = restoreState(next);
        FleetState state = restoreState(next);
        if (fault == Fault.OLD_LEASE_HANDS_BACK
                && entry instanceof Entry.Told command
                && command.event() == Event.HANDED_BACK) {
            entry = new Entry.Told(
                    command.session(),
                    command.id(),
                    command.event(),
                    state.orders().find(command.id()).lease(),
                    EMPTY);
        }
        Outcome outcome = state.apply(entry, 1, new ArrayList<>());
        next.state = fault == Fault.NOTHING ? state.snapshot() : injectFault(before, state.snapshot(), entry);
        if (outcome.done() && leaser >= 0 && entry instanceof Entry.Told command) {
            next.leases.add(new Lease(leaser, Integer.parseInt(command.id().substring(1)), (int) outcome.number()));
        }
        checkInvariants(next, before, restoreState(next), entry, outcome);
        return outcome;
    }

    /** Returns the state that a ledger with the injected fault would leave. */
    private FleetState.Snapshot injectFault(FleetState before, FleetState.Snapshot after, Entry entry) {
        List<Order> orders = new ArrayList<>();
        for (Order order : after.orders().orders()) {
            Order previous = before.orders().find(order.id());
            if (fault == Fault.LEASED_IS_FREE_WHEN_LOST
                    && order.state() == State.AWAITED
                    && previous.state() == State.LEASED) {
                order = order.withState(State.TAKEN, order.lease(), EMPTY).withHolder("", 0);
            } else if (fault == Fault.AWAITED_IS_HANDED_OUT_AGAIN
                    && entry instanceof Entry.Settle
                    && order.state() == State.UNKNOWN) {
                order = order.withState(State.TAKEN, order.lease(), EMPTY).withHolder("", 0);
            } else if (fault == Fault.CLAIM_TAKES_WHAT_IS_HELD
                    && entry instanceof Entry.Claim claim
                    && claim.ids().contains(order.id())
                    && previous.state() == State.LEASED) {
                order = previous.withState(State.TAKEN, previous.lease(), EMPTY)
                        .withHolder(claim.session().name(), claim.session().incarnation());
            }
            orders.add(order);
        }
        return new FleetState.Snapshot(
                after.sessions(),
                after.duties(),
                after.plannedJobs(),
                after.bans(),
                after.discoveryReports(),
                new Orders.Snapshot(orders));
    }

    private void checkInvariants(World next, FleetState before, FleetState after, Entry entry, Outcome outcome) {
        for (Order order : after.orders().all()) {
            Order previous = before.orders().find(order.id());
            int index = Integer.parseInt(order.id().substring(1));
            check(next, repeatable || order.state() != State.TAKEN || next.runs[index] == 0, "an order that ran waits");
            check(next, order.lease() >= previous.lease(), "a lease went back");
            check(next, order.lease() <= Orders.MAX_LEASES, "too many attempts");
            check(
                    next,
                    order.state() != State.TAKEN
                            || order.holder().isEmpty()
                            || after.sessions().live(order.holder(), order.incarnation()),
                    "a lost session holds an order");
            check(
                    next,
                    !previous.state().ended()
                            || order.state() == previous.state()
                            || previous.state() == State.UNKNOWN
                                    && order.state().ended(),
                    "a final answer changed");
            if (order.state() != previous.state()) {
                reached.add(previous.state() + " to " + order.state());
            }
            if (!order.holder().equals(previous.holder()) && previous.holder().isEmpty()) {
                reached.add("claimed");
            }
        }
        check(next, after.orders().all().size() == orderCount, "an order is lost");
        if (!outcome.done() && entry instanceof Entry.Told command) {
            reached.add(command.event() + " refused");
        } else if (!outcome.done()) {
            reached.add(entry.getClass().getSimpleName() + " refused");
        }
    }

    private static void check(World world, boolean condition, String message) {
        world.violation = world.violation == null && !condition ? message : world.violation;
    }
}
