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
import plumpost.fleet.Plans.Job;
import plumpost.fleet.Plans.State;

/**
 * A small model checker of the book and of those who act by it: three schedulers, two duties and one job, an order that
 * must not run twice or a plan that may, breadth first, each state once. Any scheduler may at any moment be called lost, rightly or
 * not, which stands for pauses, cuts and drift of any length; it may crash and begin a new life; what it sees of the log
 * may be as old as it likes; what it has proposed may be applied at any later moment, or be lost.
 */
final class FleetModel {
    /** How the schedulers or the book may be broken on purpose. */
    enum Broken {
        NOTHING,
        FENCE_NOT_CHECKED,
        LEASE_TRUSTED_ALONE,
        FENCE_REUSED_AFTER_A_SNAPSHOT,
        BEGUN_ORDERS_FIRED_AGAIN,
        LOST_LIFE_NOT_SETTLED
    }

    private static final String[] NAMES = {"a", "b", "c"};
    private static final String JOB = "job";
    private static final byte[] BODY = new byte[0];
    private static final int SNAPSHOTS = 1;
    private static final int UNDER_WAY = 1;

    /** An entry proposed by a scheduler, under the fence that it believed in. */
    record Proposed(int by, Entry entry) {}

    /** The whole system. What a scheduler sees: its life, its fence of the schedule, each job at itself. */
    static final class World {
        FleetBook.Image book;
        long[] life = new long[3];
        long[] fence = new long[3];
        State[] sees = new State[3];
        boolean[] handed = new boolean[3];
        int runs;
        List<Proposed> under = new ArrayList<>();
        int losses;
        int crashes;
        int doubts;
        int snapshots;
        String broken;

        World copy() {
            World w = new World();
            w.book = book;
            w.life = life.clone();
            w.fence = fence.clone();
            w.sees = sees.clone();
            w.handed = handed.clone();
            w.runs = runs;
            w.under = new ArrayList<>(under);
            w.losses = losses;
            w.crashes = crashes;
            w.doubts = doubts;
            w.snapshots = snapshots;
            return w;
        }

        String key() {
            List<String> flying = new ArrayList<>();
            under.forEach(p -> flying.add(p.toString()));
            flying.sort(null);
            return book.toString()
                    + Arrays.toString(life)
                    + Arrays.toString(fence)
                    + Arrays.toString(sees)
                    + Arrays.toString(handed)
                    + runs
                    + flying
                    + losses
                    + crashes
                    + doubts
                    + snapshots;
        }
    }

    private final Broken how;
    private final boolean again;
    private final int losses;
    private final int crashes;
    private final int doubts;
    private final Set<String> seen = new HashSet<>();
    private final ArrayDeque<World> next = new ArrayDeque<>();
    int moves;
    String found;
    final Set<String> reached = new HashSet<>();

    /** Explores with at most so many lives called lost, so many crashes and so many called late. */
    FleetModel(Broken how, boolean again, int losses, int crashes, int doubts) {
        this.doubts = doubts;
        this.how = how;
        this.again = again;
        this.losses = losses;
        this.crashes = crashes;
    }

    int states() {
        return seen.size();
    }

    private static FleetBook book(World w) {
        FleetBook b = new FleetBook();
        b.restore(w.book);
        return b;
    }

    void explore() {
        World first = new World();
        FleetBook b = new FleetBook();
        for (int i = 0; i < 3; i++) {
            first.life[i] = b.apply(join(i, 0), 1, new ArrayList<>()).number();
        }
        b.apply(new Entry.Plan(JOB, "function", "", BODY, 0, again), 1, new ArrayList<>());
        first.book = b.image();
        add(first);
        while (!next.isEmpty() && found == null) {
            steps(next.poll());
        }
    }

    private static Entry.Join join(int i, int crash) {
        return new Entry.Join(
                NAMES[i],
                "s" + i,
                "disk" + i,
                true,
                "n" + crash,
                1,
                List.of(new Offer("schedule", ""), new Offer("discovery/s0", "s0")));
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
        for (int i = 0; i < 3; i++) {
            sees(w, i);
            acts(w, i);
            if (w.losses < losses && book(w).sessions().live(NAMES[i], w.life[i])) {
                World n = w.copy();
                n.losses++;
                apply(n, new Proposed(-1, new Entry.Judge(NAMES[i], w.life[i], Entry.Verdict.LOST, 1)));
                add(n);
            }
            // One that is late gets nothing new, and what it has not begun may be given to another.
            if (w.doubts < doubts && book(w).sessions().live(NAMES[i], w.life[i])) {
                World n = w.copy();
                n.doubts++;
                apply(n, new Proposed(-1, new Entry.Judge(NAMES[i], w.life[i], Entry.Verdict.SUSPECT, 1)));
                add(n);
            }
            if (w.crashes < crashes) {
                World n = w.copy();
                n.crashes++;
                forget(n, i);
                n.life[i] = applied(n, join(i, n.crashes)).number();
                add(n);
            }
            // One that has seen that its life is over begins another: the process goes on, what it had is dropped.
            if (w.life[i] > 0 && w.fence[i] < 0) {
                World n = w.copy();
                forget(n, i);
                n.life[i] = applied(n, join(i, 0)).number();
                add(n);
            }
        }
        for (int p = 0; p < w.under.size(); p++) {
            World n = w.copy();
            apply(n, n.under.remove(p));
            add(n);
            World lost = w.copy();
            lost.under.remove(p);
            add(lost);
        }
        if (w.snapshots < SNAPSHOTS) {
            World n = w.copy();
            n.snapshots++;
            if (how == Broken.FENCE_REUSED_AFTER_A_SNAPSHOT) {
                long highest = n.book.duties().duties().stream()
                        .mapToLong(Duties.Duty::fence)
                        .max()
                        .orElse(0);
                n.book = new FleetBook.Image(
                        n.book.sessions(),
                        new Duties.Image(n.book.duties().duties(), highest - 1),
                        n.book.plans(),
                        n.book.bans(),
                        n.book.words(),
                        n.book.orders());
            }
            add(n);
        }
    }

    private static void forget(World n, int i) {
        n.fence[i] = 0;
        n.sees[i] = null;
        n.handed[i] = false;
    }

    /** The scheduler's copy of the book catches up: it sees its duties and its jobs as they stand. */
    private void sees(World w, int i) {
        World n = w.copy();
        FleetBook b = book(w);
        Duties.Duty d = b.duties().of("schedule");
        boolean live = b.sessions().live(NAMES[i], w.life[i]);
        n.fence[i] = !live ? -1 : d.owner().equals(NAMES[i]) && d.incarnation() == w.life[i] ? d.fence() : 0;
        Job job = b.plans().of(JOB);
        n.sees[i] = job != null && job.target().equals(NAMES[i]) && job.incarnation() == w.life[i]
                ? job.state()
                : job != null && (job.state() == State.WAITING || Plans.stuck(job, b.sessions()))
                        ? State.WAITING
                        : null;
        add(n);
    }

    /** What it does by what it sees: fire what waits, begin what it was told, hand out what it has begun, record. */
    private void acts(World w, int i) {
        State at = w.sees[i];
        if (w.fence[i] > 0 && at == State.WAITING) {
            for (int t = 0; t < 3; t++) {
                propose(w, i, new Entry.Fire(JOB, w.fence[i], NAMES[t], w.life[t]));
            }
            if (how == Broken.LEASE_TRUSTED_ALONE) {
                runs(w, i);
            }
        } else if (at == State.FIRED) {
            propose(w, i, new Entry.Begin(JOB, NAMES[i], w.life[i]));
        } else if (at == State.BEGUN && !w.handed[i]) {
            runs(w, i);
        } else if (at == State.BEGUN) {
            propose(w, i, new Entry.End(JOB, NAMES[i], w.life[i], false));
        }
    }

    private void runs(World w, int i) {
        World n = w.copy();
        n.handed[i] = true;
        n.runs = Math.min(3, n.runs + 1);
        check(n, again || n.runs <= 1, "an order ran twice");
        add(n);
    }

    private void propose(World w, int i, Entry e) {
        if (w.under.size() < UNDER_WAY && w.under.stream().noneMatch(p -> p.entry.equals(e))) {
            World n = w.copy();
            n.under.add(new Proposed(i, e));
            add(n);
        }
    }

    private Outcome applied(World n, Entry e) {
        FleetBook b = book(n);
        Outcome o = b.apply(e, 1, new ArrayList<>());
        n.book = b.image();
        return o;
    }

    private void apply(World n, Proposed p) {
        FleetBook before = book(n);
        Entry e = p.entry;
        Duties.Duty d = before.duties().of("schedule");
        if (how == Broken.FENCE_NOT_CHECKED && e instanceof Entry.Fire f) {
            e = new Entry.Fire(f.id(), d.fence(), f.target(), f.incarnation());
        }
        Outcome o = applied(n, e);
        FleetBook after = book(n);
        if (o.done() && p.entry instanceof Entry.Fire f) {
            check(
                    n,
                    d.fence() == f.fence() && d.owner().equals(NAMES[p.by]),
                    "a deed under fence " + f.fence() + " while " + d.fence() + " holds");
            reached.add(before.plans().of(JOB).state() == State.FIRED ? "fired anew" : "fired");
        } else if (!o.done() && p.entry instanceof Entry.Fire f && f.fence() != d.fence()) {
            reached.add("old fence refused");
        }
        if (!o.done() && p.entry instanceof Entry.Begin) {
            reached.add("begin refused");
        }
        if (how == Broken.BEGUN_ORDERS_FIRED_AGAIN && e instanceof Entry.Judge) {
            n.book = new FleetBook.Image(
                    n.book.sessions(),
                    n.book.duties(),
                    again(before, after),
                    n.book.bans(),
                    n.book.words(),
                    n.book.orders());
        }
        if (how == Broken.LOST_LIFE_NOT_SETTLED && e instanceof Entry.Judge) {
            n.book = new FleetBook.Image(
                    n.book.sessions(),
                    before.image().duties(),
                    n.book.plans(),
                    n.book.bans(),
                    n.book.words(),
                    n.book.orders());
            after = book(n);
        }
        rules(n, before, after);
    }

    /** The plans after, with an order that was begun by the lost life waiting again in place of given up. */
    private static Plans.Image again(FleetBook before, FleetBook after) {
        List<Job> jobs = new ArrayList<>(after.plans().all());
        Job order = before.plans().of(JOB);
        if (order != null && order.state() == State.BEGUN && after.plans().of(JOB) == null) {
            jobs.add(order.in(State.WAITING, "", 0, 0));
        }
        return new Plans.Image(jobs, after.plans().givenUp(), 0);
    }

    private void rules(World n, FleetBook before, FleetBook after) {
        Map<Long, String> owners = new HashMap<>();
        for (Duties.Duty d : after.duties().all()) {
            Duties.Duty old = before.duties().of(d.name());
            check(n, d.fence() >= old.fence(), "a fence went back");
            check(
                    n,
                    d.owner().isEmpty() || after.sessions().live(d.owner(), d.incarnation()),
                    "a lost life owns " + d.name());
            check(
                    n,
                    d.fence() != old.fence()
                            || d.owner().isEmpty()
                            || d.owner().equals(old.owner()) && d.incarnation() == old.incarnation(),
                    "a fence was used twice");
            check(n, d.owner().isEmpty() || owners.put(d.fence(), d.name()) == null, "a fence was used twice");
            if (!d.owner().equals(old.owner())) {
                reached.add("owner changed");
            }
        }
        Job job = after.plans().of(JOB);
        boolean givenUp = after.plans().givenUp().contains(JOB);
        check(n, job != null || n.runs > 0 || !again && givenUp, "a job is lost");
        check(n, again || job == null || job.state() == State.BEGUN || n.runs == 0, "an order that ran waits");
        if (job == null && givenUp) {
            reached.add("given up");
        }
        if (job != null && job.tries() > 1) {
            reached.add("begun anew");
        }
    }

    private static void check(World w, boolean holds, String words) {
        w.broken = w.broken == null && !holds ? words : w.broken;
    }
}
