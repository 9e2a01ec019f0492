package plumpost.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.PlannedJobs.Job;
import plumpost.fleet.PlannedJobs.State;

/**
 * A small model checker of the replicated state and of the schedulers that act on it. It explores three schedulers, two
 * duties and one job, either an order that must not run twice or a repeatable plan, breadth first and each state once.
 * Any scheduler may be marked as lost at any moment, rightly or not, which stands for pauses, partitions and clock drift
 * of any length. It may crash and start a new session, its copy of the state may be arbitrarily old, and what it has
 * proposed may be applied at any later moment or be lost.
 */
final class FleetModel {
    /** Faults that can be injected into the schedulers or the replicated state. */
    enum Fault {
        NOTHING,
        FENCE_NOT_CHECKED,
        LEASE_TRUSTED_ALONE,
        FENCE_REUSED_AFTER_A_SNAPSHOT,
        BEGUN_ORDERS_FIRED_AGAIN,
        LOST_SESSION_KEEPS_DUTIES
    }

    private static final String[] NAMES = {"a", "b", "c"};
    private static final String JOB = "job";
    private static final byte[] BODY = new byte[0];
    private static final int MAX_SNAPSHOTS = 1;
    private static final int MAX_IN_FLIGHT = 1;

    /** An entry proposed by a scheduler, with the fence that it knew. */
    record Proposed(int scheduler, Entry entry) {}

    /** The state of the whole system: the replicated state, and by scheduler its incarnation, fence and view of the job. */
    static final class World {
        FleetState.Snapshot state;
        long[] incarnations = new long[3];
        long[] fences = new long[3];
        State[] observedStates = new State[3];
        boolean[] handedOut = new boolean[3];
        int runs;
        List<Proposed> inFlight = new ArrayList<>();
        int losses;
        int crashes;
        int suspicions;
        int snapshots;
        String violation;

        World copy() {
            World copy = new World();
            copy.state = state;
            copy.incarnations = incarnations.clone();
            copy.fences = fences.clone();
            copy.observedStates = observedStates.clone();
            copy.handedOut = handedOut.clone();
            copy.runs = runs;
            copy.inFlight = new ArrayList<>(inFlight);
            copy.losses = losses;
            copy.crashes = crashes;
            copy.suspicions = suspicions;
            copy.snapshots = snapshots;
            return copy;
        }

        String key() {
            List<String> proposals = new ArrayList<>();
            inFlight.forEach(p -> proposals.add(p.toString()));
            proposals.sort(null);
            return state.toString()
                    + Arrays.toString(incarnations)
                    + Arrays.toString(fences)
                    + Arrays.toString(observedStates)
                    + Arrays.toString(handedOut)
                    + runs
                    + proposals
                    + losses
                    + crashes
                    + suspicions
                    + snapshots;
        }
    }

    private final Fault fault;
    private final boolean repeatable;
    private final int maxLosses;
    private final int maxCrashes;
    private final int maxSuspicions;
    private final Set<String> visited = new HashSet<>();
    private final ArrayDeque<World> frontier = new ArrayDeque<>();
    int moves;
    String violation;
    final Set<String> reached = new HashSet<>();

    /** Explores with at most so many sessions marked as lost, so many crashes and so many sessions marked as suspect. */
    FleetModel(Fault fault, boolean repeatable, int maxLosses, int maxCrashes, int maxSuspicions) {
        this.maxSuspicions = maxSuspicions;
        this.fault = fault;
        this.repeatable = repeatable;
        this.maxLosses = maxLosses;
        this.maxCrashes = maxCrashes;
    }

    int stateCount() {
        return visited.size();
    }

    private static FleetState restoreState(World world) {
        FleetState restored = new FleetState();
        restored.restore(world.state);
        return restored;
    }

    void explore() {
        World first = new World();
        FleetState initial = new FleetState();
        for (int scheduler = 0; scheduler < 3; scheduler++) {
            first.incarnations[scheduler] =
                    initial.apply(join(scheduler, 0), 1, new ArrayList<>()).number();
        }
        initial.apply(new Entry.Plan(JOB, "function", "", BODY, 0, repeatable), 1, new ArrayList<>());
        first.state = initial.snapshot();
        visit(first);
        while (!frontier.isEmpty() && violation == null) {
            expand(frontier.poll());
        }
    }

    private static Entry.Join join(int scheduler, int crash) {
        return new Entry.Join(
                NAMES[scheduler],
                "s" + scheduler,
                "disk" + scheduler,
                true,
                "n" + crash,
                1,
                List.of(new Offer("schedule", ""), new Offer("discovery/s0", "s0")));
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
        for (int scheduler = 0; scheduler < 3; scheduler++) {
            observe(world, scheduler);
            act(world, scheduler);
            if (world.losses < maxLosses
                    && restoreState(world).sessions().live(NAMES[scheduler], world.incarnations[scheduler])) {
                World next = world.copy();
                next.losses++;
                apply(
                        next,
                        new Proposed(
                                -1,
                                new Entry.Judge(
                                        NAMES[scheduler], world.incarnations[scheduler], Entry.Verdict.LOST, 1)));
                visit(next);
            }
            // A suspect session gets nothing new, and a job that it has not begun may be assigned to another.
            if (world.suspicions < maxSuspicions
                    && restoreState(world).sessions().live(NAMES[scheduler], world.incarnations[scheduler])) {
                World next = world.copy();
                next.suspicions++;
                apply(
                        next,
                        new Proposed(
                                -1,
                                new Entry.Judge(
                                        NAMES[scheduler], world.incarnations[scheduler], Entry.Verdict.SUSPECT, 1)));
                visit(next);
            }
            if (world.crashes < maxCrashes) {
                World next = world.copy();
                next.crashes++;
                forget(next, scheduler);
                next.incarnations[scheduler] =
                        applyEntry(next, join(scheduler, next.crashes)).number();
                visit(next);
            }
            // A process that sees that its session is over starts another one and drops the work of the old one.
            if (world.incarnations[scheduler] > 0 && world.fences[scheduler] < 0) {
                World next = world.copy();
                forget(next, scheduler);
                next.incarnations[scheduler] =
                        applyEntry(next, join(scheduler, 0)).number();
                visit(next);
            }
        }
        for (int index = 0; index < world.inFlight.size(); index++) {
            World next = world.copy();
            apply(next, next.inFlight.remove(index));
            visit(next);
            World lost = world.copy();
            lost.inFlight.remove(index);
            visit(lost);
        }
        if (world.snapshots < MAX_SNAPSHOTS) {
            World next = world.copy();
            next.snapshots++;
            if (fault == Fault.FENCE_REUSED_AFTER_A_SNAPSHOT) {
                long highest = next.state.duties().duties().stream()
                        .mapToLong(Duties.Duty::fence)
                        .max()
                        .orElse(0);
                next.state = new FleetState.Snapshot(
                        next.state.sessions(),
                        new Duties.Snapshot(next.state.duties().duties(), highest - 1),
                        next.state.plannedJobs(),
                        next.state.bans(),
                        next.state.discoveryReports(),
                        next.state.orders());
            }
            visit(next);
        }
    }

    private static void forget(World next, int scheduler) {
        next.fences[scheduler] = 0;
        next.observedStates[scheduler] = null;
        next.handedOut[scheduler] = false;
    }

    /** The scheduler's copy of the state catches up: it sees its duties and its job as they are. */
    private void observe(World world, int scheduler) {
        World next = world.copy();
        FleetState state = restoreState(world);
        Duties.Duty duty = state.duties().find("schedule");
        boolean live = state.sessions().live(NAMES[scheduler], world.incarnations[scheduler]);
        next.fences[scheduler] = !live
                ? -1
                : duty.owner().equals(NAMES[scheduler]) && duty.incarnation() == world.incarnations[scheduler]
                        ? duty.fence()
                        : 0;
        Job job = state.plannedJobs().find(JOB);
        next.observedStates[scheduler] = job != null
                        && job.target().equals(NAMES[scheduler])
                        && job.incarnation() == world.incarnations[scheduler]
                ? job.state()
                : job != null && (job.state() == State.WAITING || PlannedJobs.isStalled(job, state.sessions()))
                        ? State.WAITING
                        : null;
        visit(next);
    }

    /** Acts on what the scheduler sees: fires a waiting job, begins a fired one, runs a begun one, records its end. */
    private void act(World world, int scheduler) {
        State observed = world.observedStates[scheduler];
        if (world.fences[scheduler] > 0 && observed == State.WAITING) {
            for (int target = 0; target < 3; target++) {
                propose(
                        world,
                        scheduler,
                        new Entry.Fire(JOB, world.fences[scheduler], NAMES[target], world.incarnations[target]));
            }
            if (fault == Fault.LEASE_TRUSTED_ALONE) {
                run(world, scheduler);
            }
        } else if (observed == State.FIRED) {
            propose(world, scheduler, new Entry.Begin(JOB, NAMES[scheduler], world.incarnations[scheduler]));
        } else if (observed == State.BEGUN && !world.handedOut[scheduler]) {
            run(world, scheduler);
        } else if (observed == State.BEGUN) {
            propose(world, scheduler, new Entry.End(JOB, NAMES[scheduler], world.incarnations[scheduler], false));
        }
    }

    private void run(World world, int scheduler) {
        World next = world.copy();
        next.handedOut[scheduler] = true;
        next.runs = Math.min(3, next.runs + 1);
        check(next, repeatable || next.runs <= 1, "an order ran twice");
        visit(next);
    }

    private void propose(World world, int scheduler, Entry entry) {
        if (world.inFlight.size() < MAX_IN_FLIGHT
                && world.inFlight.stream().noneMatch(proposal -> proposal.entry.equals(entry))) {
            World next = world.copy();
            next.inFlight.add(new Proposed(scheduler, entry));
            visit(next);
        }
    }

    private Outcome applyEntry(World next, Entry entry) {
        FleetState state = restoreState(next);
        Outcome outcome = state.apply(entry, 1, new ArrayList<>());
        next.state = state.snapshot();
        return outcome;
    }

    private void apply(World next, Proposed proposal) {
        FleetState before = restoreState(next);
        Entry entry = proposal.entry;
        Duties.Duty duty = before.duties().find("schedule");
        if (fault == Fault.FENCE_NOT_CHECKED && entry instanceof Entry.Fire fire) {
            entry = new Entry.Fire(fire.id(), duty.fence(), fire.target(), fire.incarnation());
        }
        Outcome outcome = applyEntry(next, entry);
        FleetState after = restoreState(next);
        if (outcome.done() && proposal.entry instanceof Entry.Fire fire) {
            check(
                    next,
                    duty.fence() == fire.fence() && duty.owner().equals(NAMES[proposal.scheduler]),
                    "an action under fence " + fire.fence() + " while " + duty.fence() + " holds");
            reached.add(before.plannedJobs().find(JOB).state() == State.FIRED ? "fired anew" : "fired");
        } else if (!outcome.done() && proposal.entry instanceof Entry.Fire fire && fire.fence() != duty.fence()) {
            reached.add("old fence refused");
        }
        if (!outcome.done() && proposal.entry instanceof Entry.Begin) {
            reached.add("begin refused");
        }
        if (fault == Fault.BEGUN_ORDERS_FIRED_AGAIN && entry instanceof Entry.Judge) {
            next.state = new FleetState.Snapshot(
                    next.state.sessions(),
                    next.state.duties(),
                    keepBegunOrderWaiting(before, after),
                    next.state.bans(),
                    next.state.discoveryReports(),
                    next.state.orders());
        }
        if (fault == Fault.LOST_SESSION_KEEPS_DUTIES && entry instanceof Entry.Judge) {
            next.state = new FleetState.Snapshot(
                    next.state.sessions(),
                    before.snapshot().duties(),
                    next.state.plannedJobs(),
                    next.state.bans(),
                    next.state.discoveryReports(),
                    next.state.orders());
            after = restoreState(next);
        }
        checkInvariants(next, before, after);
    }

    /** The planned jobs afterwards, with an order that the lost session had begun waiting again instead of given up. */
    private static PlannedJobs.Snapshot keepBegunOrderWaiting(FleetState before, FleetState after) {
        List<Job> jobs = new ArrayList<>(after.plannedJobs().all());
        Job order = before.plannedJobs().find(JOB);
        if (order != null && order.state() == State.BEGUN && after.plannedJobs().find(JOB) == null) {
            jobs.add(order.withState(State.WAITING, "", 0, 0));
        }
        return new PlannedJobs.Snapshot(jobs, after.plannedJobs().givenUp(), 0);
    }

    private void checkInvariants(World next, FleetState before, FleetState after) {
        Map<Long, String> owners = new HashMap<>();
        for (Duties.Duty duty : after.duties().all()) {
            Duties.Duty previous = before.duties().find(duty.name());
            check(next, duty.fence() >= previous.fence(), "a fence went back");
            check(
                    next,
                    duty.owner().isEmpty() || after.sessions().live(duty.owner(), duty.incarnation()),
                    "a lost session owns " + duty.name());
            check(
                    next,
                    duty.fence() != previous.fence()
                            || duty.owner().isEmpty()
                            || duty.owner().equals(previous.owner()) && duty.incarnation() == previous.incarnation(),
                    "a fence was used twice");
            check(
                    next,
                    duty.owner().isEmpty() || owners.put(duty.fence(), duty.name()) == null,
                    "a fence was used twice");
            if (!duty.owner().equals(previous.owner())) {
                reached.add("owner changed");
            }
        }
        Job job = after.plannedJobs().find(JOB);
        boolean givenUp = after.plannedJobs().givenUp().contains(JOB);
        check(next, job != null || next.runs > 0 || !repeatable && givenUp, "a job is lost");
        check(
                next,
                repeatable || job == null || job.state() == State.BEGUN || next.runs == 0,
                "an order that ran waits");
        if (job == null && givenUp) {
            reached.add("given up");
        }
        if (job != null && job.attempts() > 1) {
            reached.add("begun anew");
        }
    }

    private static void check(World world, boolean condition, String message) {
        world.violation = world.violation == null && !condition ? message : world.violation;
    }
}
