package plumpost.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Every decision of one dispatcher, by Deferred Assignment Scheduling (docs/design.md).
 * Its interface, types, events and actions, is in Dispatcher.java beside this file.
 */
public final class Logic implements Dispatcher {
    static final double THETA = 2; // bar, in slots, of a worker of which nothing is known: DAS(2)
    static final double AGING_MS = 100; // held estimates halve each 100 ms (T_u, F_u), continuously
    static final double EVIDENCE_RUNS = 1.5; // mean run times until evidence is void: the jobs seen are gone
    static final int PROBES_PER_ROUND = 3; // asked for one held job: more costs fees, fewer find no room
    static final int PROBE_ROUNDS = 2; // for one job, before it goes by what is known
    static final double SLOT_GAIN = 0.1; // how fast a kind's slots follow what reports say
    static final int DRAWS = 6; // for each probe: asked is the one where the job should end first
    static final double FEE_WEIGHT = 3; // times to the aim that sending at full price is worth
    // planned of a cold budget, by work and by number
    static final double COLD_PART = 0.4;
    static final double COLD_JOBS = 0.6;
    // ejection of a failing worker
    static final double EJECT_MS = 500;
    static final double EJECT_MAX_MS = 8_000;
    static final double EJECT_CAP = 0.5; // beyond this part of the fleet the cause is not the workers
    static final double PROMPT_GAIN = 0.1; // how fast the share of attempts that start at once follows
    static final double COMMIT_SHARE = 0.5; // prompt starts below which theta alone is no longer believed
    static final double LATE_STEPS = 1e9; // what can no longer be in time comes after all that can
    static final double GIVE_STEPS = 10; // halvings that a factor 2 of worth counts when jobs must give
    static final double PRESSED_MS = 2_000; // since a held job ran out of time: longer than gaps between them
    static final double SPARE_SHARE = 0.8; // of prompt starts above which late jobs may use what is spare
    static final int LOOK_AHEAD = 12; // held jobs that may find no worker in a release: bounds its cost
    // the same for one kind of work; seats looked at
    static final int LANE_AHEAD = 3;
    static final int SCAN = 16;
    static final int COLD_LOOKS = 16; // at a seat that is still cold, while it warms
    static final double PRIORITY_STEPS = 20; // halvings of an estimate that a step of priority is worth: 2 s
    static final double RECHECK_MS = 80; // look again at held jobs while no event brings room
    // A change counts as told 6 s after discovery had it: some calls of up to 1 s each have to fit.
    static final double LIST_RETRY_MS = 500;
    static final double LIST_RETRY_MAX_MS = 1_300;
    static final double LIST_EACH_MS = 12;
    static final double LIST_AGAIN_MS = 50; // at the least, between list calls that fail: whatever is set
    static final double TIMER_SLACK_MS = 0.01; // a host may round a timer down: waiting on stalled them all

    private static final Comparator<Request> ORDER =
            Comparator.<Request>comparingDouble(r -> r.key).thenComparingLong(r -> r.order);

    private Settings set;
    private final Actions out;
    private final SplittableRandom random;
    private final Map<String, Worker> known = new LinkedHashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final List<Worker> plain = new ArrayList<>(); // those serving whose places are not known
    private final Set<Worker> gone = new LinkedHashSet<>(); // known still, until nothing of them is under way
    private final Map<Integer, Lane> lanes = new LinkedHashMap<>();
    private final Set<Lane> waiting = new LinkedHashSet<>(); // lanes with held jobs, and some that had them
    private final Set<Request> spare = new LinkedHashSet<>(); // held, and can no longer be in time
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private final Kind[] kinds;
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    private final double[] prompt;
    private final double[] waits;
    private final double[] credit;
    private final double[] creditAt;
    private final double[] hints = new double[31];
    private double[] fullPatience; // by class, grown as classes come
    private final double topImportance;
    private final boolean pulls;
    private int hintCount;
    private int ejected;
    private int probesOut;
    private int moot;
    private long order;
    private boolean recheckSet;
    private boolean mixed;
    private boolean sweeps;
    private double now;
    private double meanRun = 1000;
    private double promptShare = 1;
    private double meanCost;
    private double listAskedAt = Double.NEGATIVE_INFINITY;
    private double pressedUntil = Double.NEGATIVE_INFINITY;

    /** A dispatcher with nothing taken and no list yet. */
    public Logic(Settings settings, long seed, Actions actions) {
        set = settings;
        out = actions;
        random = new SplittableRandom(seed);
        Arrays.setAll(kinds = new Kind[settings.kinds()], k -> new Kind());
        waits = new double[settings.zones()];
        Arrays.setAll(prompt = new double[settings.zones()], z -> z == settings.zone() ? 20 : 60);
        pulls = settings.reports() == Reports.PULL && settings.limits().probes();
        topImportance = settings.classes().stream()
                .mapToDouble(JobClass::importance)
                .max()
                .orElse(1);
        Arrays.fill(credit = new double[settings.tenants().size()], 3);
        creditAt = new double[credit.length];
        fullPatience = new double[settings.classes().size()];
    }

    /** What the workers of one kind have in common: speed over the yardstick and slots, both learned. */
    private static final class Kind {
        double cost = 4000;
        double run = 4000;
        double slots = THETA;
        double proven = 1;

        double speed() {
            return cost / run;
        }
    }

    private static final class Worker {
        final String id;
        int zone;
        int kind;
        int cell;
        int failures;
        int jobs;
        int index = -1;
        boolean probing;
        Phase phase = Phase.SERVING;
        double cameUp;
        double own;
        double running;
        double room;
        double seenAt = Double.NEGATIVE_INFINITY;
        double reportAt = seenAt;
        double lastSent = seenAt;
        double links;
        double idleSince;
        double cost;
        double run;
        double badUntil;
        double coldSince;
        double coldDraw;
        long turn;
        long freeAs;
        BitSet runs;
        int places;

        Worker(String id) {
            this.id = id;
        }
    }

    private static final class Attempt {
        final Worker worker;
        final double sentAt;
        final double need;
        double startedAt = Double.NaN;
        boolean late;
        Ending ending;

        Attempt(Worker to, double at, double slots) {
            worker = to;
            sentAt = at;
            need = slots;
        }
    }

    private static final class Request {
        Job job;
        JobClass cls;
        final List<Attempt> attempts = new ArrayList<>(2);
        double cost;
        double deadline;
        double aim;
        double key;
        double worth;
        long order;
        int attemptsOut;
        int rounds;
        boolean done;
        boolean isHeld;
        boolean dead;
    }

    /** Held jobs of one kind of work, and the seats (workers with known places) last seen free for it. */
    private static final class Lane {
        final TreeSet<Request> held = new TreeSet<>(ORDER);
        final TreeMap<Long, Worker> free = new TreeMap<>(Comparator.reverseOrder());
        int passed;
    }

    private record Task(double at, long order, Runnable what, Request about) {}

    @Override
    public void workers(double t, ListMode mode, List<WorkerEntry> entries) {
        now = t;
        if (mode == ListMode.FAILED) {
            // No herd on the list service: first calls are spread, later ones back off, more if they queued.
            // What is pushed counts as told while nobody listens: a drain leaves no more than its own time.
            Rules rule = set.rules();
            double each = now - listAskedAt > LIST_RETRY_MS ? LIST_EACH_MS * set.balancers() : 0;
            double retry = Math.max(LIST_RETRY_MS, Math.min(LIST_RETRY_MAX_MS, each));
            double most = set.listOnRequest() ? rule.mustAskInMs() : rule.stopSendingWithinMs();
            double backoff = Math.min(retry, most / 4);
            at(now + Math.max(LIST_AGAIN_MS, backoff) * (0.5 + random.nextDouble()), this::askForList, null);
        } else {
            boolean first = mode == ListMode.SAVED && set.listOnRequest();
            if (first) at(now + random.nextDouble() * set.rules().mustAskInMs() / 3, this::askForList, null);
            if (mode != ListMode.INCREMENTAL) known.values().forEach(w -> w.phase = Phase.DELETED);
            entries.forEach(this::list);
            if (mode == ListMode.INCREMENTAL) {
                entries.forEach(e -> place(known.get(e.id())));
            } else {
                plain.clear();
                known.values().forEach(w -> {
                    w.index = -1;
                    place(w);
                });
            }
            gone.removeIf(this::forgotten);
            release();
        }
        settle();
    }

    /** Puts a worker into the list of those serving or takes it out; no other worker is looked at. */
    private void place(Worker w) {
        boolean serves = w.phase == Phase.SERVING && w.places == 0;
        if (serves && w.index < 0 && plain.add(w)) w.index = plain.size() - 1;
        if (!serves && w.index >= 0) {
            Worker last = plain.remove(plain.size() - 1);
            if (last != w) plain.set(last.index = w.index, last);
            w.index = -1;
        }
        if (w.phase == Phase.DELETED) gone.add(w);
    }

    private boolean forgotten(Worker w) {
        boolean over = w.own == 0 && !w.probing;
        if (over && w.phase == Phase.DELETED) known.remove(w.id, w);
        return over || w.phase != Phase.DELETED;
    }

    private void askForList() {
        listAskedAt = now;
        out.subscribe();
    }

    private void list(WorkerEntry e) {
        Worker w = known.computeIfAbsent(e.id(), Worker::new);
        if (w.turn == 0) w.turn = 1 + random.nextInt(1 << 20);
        w.phase = e.phase();
        w.zone = Math.min(Math.max(e.zone(), 0), prompt.length - 1);
        w.kind = Math.min(Math.max(e.kind(), 0), kinds.length - 1);
        w.cell = e.cell();
        mixed |= e.places() > 0;
        if (w.runs != null) occupy(w);
        w.runs = e.runs();
        w.places = e.places();
        vacate(w);
        if (e.cameUpMs() > w.cameUp) {
            w.cameUp = e.cameUpMs();
            w.coldSince = now;
            w.coldDraw = random.nextDouble();
        }
    }

    @Override
    public void arrived(double t, Job job) {
        now = t;
        JobClass c = set.classes().get(job.cls());
        double cost = Double.isNaN(job.costMs()) ? medianHint() : Math.max(1, job.costMs());
        if (!Double.isNaN(job.costMs())) hints[hintCount++ % hints.length] = cost;
        meanCost += (cost - meanCost) * (meanCost == 0 ? 1 : 0.05);
        // A later try comes with less patience than first tries have: its aim runs since the first.
        if (job.cls() >= fullPatience.length) fullPatience = Arrays.copyOf(fullPatience, job.cls() + 1);
        fullPatience[job.cls()] = Math.max(fullPatience[job.cls()], job.patienceMs());
        boolean later = job.patienceMs() < fullPatience[job.cls()] - 1;
        double age = later ? Math.max(0, c.deadlineMs() - job.patienceMs()) : 0;
        Request r = new Request();
        r.job = job;
        r.cls = c;
        r.cost = cost;
        r.deadline = now + job.patienceMs();
        r.aim = now - age + Math.min(c.aimMs() + c.aimStretch() * cost, c.deadlineMs());
        if (!Double.isNaN(job.aimMs())) r.aim = now + job.aimMs();
        r.worth = c.importance() * (inShare(job.tenant()) ? 1 : set.overShareWorth()) / topImportance;
        r.order = order++;
        requests.put(job.id(), r);
        at(
                r.deadline - set.leastLeftMs(),
                () -> {
                    if (r.attemptsOut == 0) finish(r);
                },
                r);
        at(r.deadline - 2 * set.granularityMs(), () -> finish(r), r);
        hold(r);
        release();
        settle();
    }

    /** A tenant's quota is a rate over all dispatchers; this one keeps to its even part of it. */
    private boolean inShare(int tenant) {
        if (tenant < 0 || tenant >= credit.length) return true;
        double rate = set.tenants().get(tenant).quotaPerS() / 1000 / set.balancers();
        credit[tenant] = Math.min(credit[tenant] + (now - creditAt[tenant]) * rate, Math.max(3, rate * 2000));
        creditAt[tenant] = now;
        return credit[tenant] >= 1 && credit[tenant]-- >= 1;
    }

    private double medianHint() {
        double[] recent = Arrays.copyOf(hints, Math.min(hintCount, hints.length));
        Arrays.sort(recent);
        return hintCount == 0 ? meanRun : recent[recent.length / 2];
    }

    @Override
    public void started(double t, String job, int attempt, String worker) {
        now = t;
        Request r = requests.get(job);
        Attempt a = r == null || attempt >= r.attempts.size() ? null : r.attempts.get(attempt);
        if (a != null && a.ending == null && Double.isNaN(a.startedAt)) {
            Worker w = a.worker;
            Kind k = kinds[w.kind];
            a.startedAt = now;
            w.running += a.need;
            double delay = now - a.sentAt;
            if (!a.late) startSeen(w, 1);
            if (delay <= lateAfter(w)) {
                prompt[w.zone] += (delay - prompt[w.zone]) * (delay < prompt[w.zone] ? 0.3 : 0.05);
                k.proven = Math.max(k.proven, w.running);
                k.slots = Math.max(k.slots, k.proven);
                see(w, Math.max(roomNow(w), w.own < k.slots ? 1 : 0));
            } else {
                see(w, Math.min(0, w.running - w.own));
            }
            release();
        }
        settle();
    }

    @Override
    public void progressed(double t, String job, int attempt, String worker, double share) {}

    @Override
    public void streaming(double t, String job, int attempt, String worker) {}

    @Override
    public void ended(double t, Outcome o) {
        now = t;
        Request r = requests.get(o.job());
        Attempt a = r == null || o.attempt() >= r.attempts.size() ? null : r.attempts.get(o.attempt());
        if (a == null || a.ending != null) return;
        Worker w = a.worker;
        a.ending = o.ending();
        r.attemptsOut--;
        w.own = Math.max(0, w.own - a.need);
        w.jobs--;
        w.idleSince = now;
        boolean ran = !Double.isNaN(a.startedAt);
        if (ran) w.running = Math.max(0, w.running - a.need);
        w.room += a.need;
        // It did not wait for its slot, so nobody was waiting there: the slot that it leaves is free.
        if (ran && !a.late) see(w, Math.max(w.room, w.own < kinds[w.kind].slots ? 1 : 0));
        vacate(w);
        judge(r, a, w, ran);
        if (o.report() != null) report(w, o.report());
        if (o.over() || r.done) forget(r);
        else if (r.attemptsOut == 0) retry(r);
        release();
        settle();
    }

    @Override
    public void clientGone(double t, String job) {
        now = t;
        if (requests.containsKey(job)) forget(requests.get(job));
        settle();
    }

    @Override
    public void timer(double t, long token) {
        now = t;
        while (!wakes.isEmpty() && wakes.peek() <= now + TIMER_SLACK_MS) wakes.poll();
        settle();
    }

    @Override
    public void probed(double t, String worker, Ending ending, double waitMs, LoadReport report) {
        now = t;
        Worker w = known.get(worker);
        if (w != null && w.probing) {
            w.probing = false;
            probesOut--;
            if (ending != Ending.OK && ending != Ending.MOOT) see(w, Math.min(w.room, -THETA));
            else if (report != null) report(w, report);
            release();
        }
        settle();
    }

    @Override
    public void peerMessage(double t, int from, byte[] bytes) {}

    // ---- ordinary path: hold, bar, release ----

    private void hold(Request r) {
        r.isHeld = true;
        Attempt first = mayHaveRun(r);
        if (first != null && r.cls.effect() == Effect.GUARDED) {
            // A repeat is harmless until then: what found no worker by that time is given up at once.
            at(
                    first.sentAt + r.cls.windowMs(),
                    () -> {
                        if (r.isHeld) finish(r);
                    },
                    r);
        }
        // While nobody gives hints, guesses at jobs differ only by when they were made.
        boolean blind = hintCount == 0 && Double.isNaN(r.job.costMs());
        r.key = (blind ? 0 : Math.log(r.cost) / Math.log(2)) + now / AGING_MS;
        if (!r.attempts.isEmpty()) r.key = r.attempts.get(0).sentAt / AGING_MS;
        // Exception, a held job ran out of time lately: something must give, what is worth least first.
        if (now < pressedUntil) r.key -= GIVE_STEPS * Math.log(Math.max(r.worth, 1e-3)) / Math.log(2);
        r.key -= PRIORITY_STEPS * r.job.priority();
        if (r.dead) r.key += lateSteps(r);
        keep(r);
    }

    private void keep(Request r) {
        Lane l = lane(r.job.work());
        l.held.add(r);
        waiting.add(l);
        if (worthless(r)) spare.add(r);
    }

    /** What can no longer be in time comes later by as much as that takes off its worth, or last. */
    private static double lateSteps(Request r) {
        double kept = Math.min(1, r.cls.lateWorth());
        return worthless(r) ? LATE_STEPS : -GIVE_STEPS * Math.log(kept) / Math.log(2);
    }

    private static boolean worthless(Request r) {
        return r.dead && r.cls.lateWorth() == 0;
    }

    int held() {
        return waiting.stream().mapToInt(l -> l.held.size()).sum();
    }

    private Lane lane(int work) {
        return lanes.computeIfAbsent(work, k -> new Lane());
    }

    /** A seat with room is free for each kind of its work, last come first; one that is gone is forgotten. */
    private void vacate(Worker w) {
        if (w.places == 0) return;
        occupy(w);
        if (w.phase == Phase.SERVING && w.own < w.places) {
            w.freeAs = ++order;
            for (int k = w.runs.nextSetBit(0); k >= 0; k = w.runs.nextSetBit(k + 1)) {
                lane(k).free.put(w.freeAs, w);
            }
        }
    }

    private void occupy(Worker w) {
        for (int k = w.freeAs == 0 ? -1 : w.runs.nextSetBit(0); k >= 0; k = w.runs.nextSetBit(k + 1)) {
            lane(k).free.remove(w.freeAs);
        }
        w.freeAs = 0;
    }

    /** The lane whose first job comes first, of those that this release is not through with. */
    private Lane next() {
        Lane first = null;
        for (Lane l : waiting) {
            boolean unable = !sweeps && plain.isEmpty() && l.free.isEmpty();
            if (l.held.isEmpty() || mixed && (unable || l.passed >= LANE_AHEAD)) continue;
            if (first == null || ORDER.compare(l.held.first(), first.held.first()) < 0) first = l;
        }
        return first;
    }

    /** Gives held jobs, smallest aged estimate first, to workers whose own count is below their bar. */
    private void release() {
        if (promptShare < SPARE_SHARE) List.copyOf(spare).forEach(this::finish);
        waiting.removeIf(l -> l.held.isEmpty());
        waiting.forEach(l -> l.passed = 0);
        List<Request> passed = new ArrayList<>();
        double[] blocked = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        for (Lane l = next(); l != null && (mixed || passed.size() < LOOK_AHEAD); l = next()) {
            Request r = l.held.pollFirst();
            if (r.done) continue;
            if (!r.dead && now + r.cost / 2 > r.aim) {
                // Exception, a job that cannot be in time: after all that can, or given up if worthless.
                r.dead = true;
                r.key += lateSteps(r);
                pressedUntil = now + PRESSED_MS;
                if (worthless(r) && promptShare < SPARE_SHARE) finish(r);
                else keep(r);
                continue;
            }
            // What found no room leaves none for a job of as many slots: one scan of the fleet serves both.
            int kind = recallable(r, 1) ? 1 : 0;
            Worker w = r.job.slots() >= blocked[kind] ? null : choose(r, l);
            if (w == null && r.cls.kind() < 0 && !mixed && r.attempts.isEmpty() && !asks(r)) {
                blocked[kind] = Math.min(blocked[kind], r.job.slots());
            }
            if (w == null || !send(r, w)) {
                passed.add(r);
                l.passed++;
            }
        }
        passed.forEach(this::keep);
        if (!recheckSet && held() > 0) {
            recheckSet = true;
            at(
                    now + RECHECK_MS,
                    () -> {
                        recheckSet = false;
                        sweeps = true;
                        release();
                        sweeps = false;
                    },
                    null);
        }
    }

    /** The open worker on which the job should end first; freed workers in turn among equals. */
    private Worker choose(Request r, Lane lane) {
        boolean asks = asks(r);
        Worker best = null;
        double bestEnd = Double.POSITIVE_INFINITY;
        // Exception, few attempts start at once: the fleet is full, theta alone would fill queues blindly.
        boolean wary = promptShare < COMMIT_SHARE && !recallable(r, 1);
        boolean ignoreBad = ejected > EJECT_CAP * plain.size();
        Iterator<Worker> seats = lane.free.values().iterator();
        for (int i = 0, looked = 0; i < plain.size() || looked < SCAN && seats.hasNext(); ) {
            Worker w = i < plain.size() ? plain.get(i++) : seats.next();
            boolean seat = w.places > 0;
            if (seat && (w.badUntil > now || !coldAllows(r, w))) {
                seats.remove(); // others are looked at meanwhile
                at(Math.max(w.badUntil, now + set.rules().coldMs() / COLD_LOOKS), () -> vacate(w), null);
                continue;
            }
            if (asks && !seat && now - w.seenAt > meanRun) continue;
            looked += seat ? 1 : 0;
            if (!ignoreBad && w.badUntil > now || !mayRun(r, w) || !runs(r, w)) continue;
            // What may run only once is nothing to try a worker with that failed lately.
            if (asks && !seat && w.failures > 0 && r.cls.effect() != Effect.FREE) continue;
            double room = roomNow(w);
            if (wary && !seat) room -= Math.max(0, 1 - weight(w)) * (THETA - w.own);
            if (room <= 0 || asks && room < r.job.slots() || !coldAllows(r, w)) continue;
            double end = endOn(w, r, Math.max(0, r.job.slots() - room));
            if (end < bestEnd || end == bestEnd && w.turn < best.turn) {
                best = w;
                bestEnd = end;
            }
        }
        if (best == null && asks && probesOut == 0) {
            r.rounds++;
            ask(r);
        }
        return best;
    }

    /** How long until the job should have ended there; fees count as a share of the time to its aim. */
    private double endOn(Worker w, Request r, double lack) {
        boolean near = w.zone == set.zone();
        double fee = (linked(w) ? 0 : set.fees().handshake())
                + (near ? 0 : set.fees().crossZone());
        double odds = fee * FEE_WEIGHT + (pulls ? 0 : waits[w.zone]);
        double end = r.cost / speed(w) + lack * meanRun / kinds[w.kind].slots + (near ? 0 : prompt[w.zone]);
        if (w.failures > 0 && r.cls.effect() != Effect.FREE) odds += 1;
        return Math.max(pulls ? 0 : r.aim - now, end) + odds * Math.max(0, r.aim - now);
    }

    private boolean runs(Request r, Worker w) {
        return w.runs == null ? r.job.work() < set.classes().size() : w.runs.get(r.job.work());
    }

    private boolean asks(Request r) {
        return pulls && r.rounds < PROBE_ROUNDS;
    }

    /** Slots below the bar: the bar is what evidence says while it is fresh, and theta as it ages. */
    private double roomNow(Worker w) {
        if (w.places > 0) return w.places - w.own;
        double weight = weight(w);
        return weight * w.room + (1 - weight) * (THETA - w.own);
    }

    private double weight(Worker w) {
        return Math.max(0, 1 - (now - w.seenAt) / (EVIDENCE_RUNS * meanRun));
    }

    /** True where an open connection to the worker is likely to be idle. */
    private boolean linked(Worker w) {
        return w.links > w.jobs && now - w.idleSince < set.limits().keepaliveMs();
    }

    private void see(Worker w, double room) {
        w.room = room;
        w.seenAt = now;
    }

    private double speed(Worker w) {
        return (w.cost + 3 * meanRun * kinds[w.kind].speed()) / (w.run + 3 * meanRun);
    }

    private double lateAfter(Worker w) {
        return 2 * prompt[w.zone] + 4 * set.granularityMs() + 5;
    }

    // ---- exception: reports exist; a held job asks before theta is believed ----

    private void ask(Request r) {
        int n = plain.size();
        for (int i = 0, asked = 0; i < 4 * PROBES_PER_ROUND && asked < PROBES_PER_ROUND && n > 0; i++) {
            Worker best = null;
            for (int k = 0; k < DRAWS; k++) {
                Worker w = plain.get(random.nextInt(n));
                boolean fresh = w.probing || now - w.reportAt <= meanRun / 2;
                if (fresh || !mayRun(r, w) || w.badUntil > now) continue;
                if (best == null || endOn(w, r, 0) < endOn(best, r, 0)) best = w;
            }
            if (best == null) continue;
            best.probing = true;
            probesOut++;
            asked++;
            out.probe(best.id);
        }
    }

    private void report(Worker w, LoadReport p) {
        Kind k = kinds[w.kind];
        // What is free and what runs are a worker's slots; few jobs of one's own never show them all.
        double slots = p.freeSlots() + p.inflight() - (Double.isNaN(p.queue()) ? 0 : p.queue());
        if (Double.isNaN(slots) && p.freeSlots() >= 0) slots = Math.max(k.slots, p.freeSlots());
        // A false report must not open cold workers to a flood: one moves the slots by a tenth at the most.
        double near = Math.min(slots, 2 * k.slots);
        if (!Double.isNaN(near)) k.slots = Math.max(k.proven, k.slots + (near - k.slots) * SLOT_GAIN);
        double room = !Double.isNaN(p.freeSlots()) ? p.freeSlots() : k.slots - p.inflight();
        if (!Double.isNaN(p.queue())) room -= p.queue();
        // A report may be older than what was sent since: jobs of one's own take slots whatever it says.
        if (!Double.isNaN(slots)) room = Math.min(room, Math.max(k.slots, slots) - w.own);
        // One that came with an answer was measured long before: it tells a worker's size, not what is free.
        if (!Double.isNaN(room) && pulls) see(w, room);
        w.reportAt = now;
    }

    // ---- exception: a free job that does not start is recalled; only where no probe tells of room ----

    private void watchStart(Request r, Attempt a) {
        if (!set.tellsStart()) return;
        at(
                a.sentAt + lateAfter(a.worker),
                () -> {
                    if (a.ending != null || !Double.isNaN(a.startedAt)) return;
                    a.late = true;
                    startSeen(a.worker, 0);
                    see(a.worker, Math.min(a.worker.room, a.worker.running - a.worker.own));
                    if (recallable(r, 0)) out.cancel(r.job.id(), r.attempts.indexOf(a));
                },
                r);
    }

    private boolean recallable(Request r, int more) {
        return set.reports() != Reports.PULL
                && set.limits().cancelling()
                && r.cls.effect() == Effect.FREE
                && r.attempts.size() + more < set.limits().maxAttempts();
    }

    private void startSeen(Worker w, double inTime) {
        promptShare += (inTime - promptShare) * PROMPT_GAIN;
        waits[w.zone] += (1 - inTime - waits[w.zone]) * PROMPT_GAIN;
    }

    private void judge(Request r, Attempt a, Worker w, boolean ran) {
        boolean word = a.ending == Ending.ERROR || a.ending == Ending.FULL;
        if (w.places > 0 && word) return; // of a seat on the job, not on itself
        switch (a.ending) {
            case OK -> {
                w.failures /= 2; // one that fails every second job is no better for the one between
                if (ran) learn(r, a, w);
            }
            case FULL -> {
                // What turns jobs away is full, or drains and is not yet listed so.
                see(w, -THETA);
                eject(w, 0.25);
            }
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> {
                // What fails at once costs nothing: only the next failure in a row tells of the worker.
                boolean failed = a.ending == Ending.CONNECT_FAILED;
                boolean quick = failed && now - a.sentAt < set.limits().dialTimeoutMs() / 2;
                if (!quick) see(w, Math.min(w.room, 0));
                boolean tells = a.ending == Ending.ERROR || failed && !quick;
                if (tells || w.failures > 0) eject(w, 1);
                else w.failures++;
            }
            default -> see(w, ran ? w.room : Math.min(w.room, 0));
        }
    }

    @Override
    public void retune(double t, Settings next) {
        now = t;
        set = next;
    }

    @Override
    public int avoided(double t) {
        return (int) plain.stream().filter(x -> x.badUntil > t).count();
    }

    private void eject(Worker w, double part) {
        w.failures++;
        w.badUntil = now + part * Math.min(EJECT_MS * (1 << Math.min(w.failures, 10)), EJECT_MAX_MS);
        ejected = (int) plain.stream().filter(x -> x.badUntil > now).count();
    }

    private void learn(Request r, Attempt a, Worker w) {
        double run = now - a.startedAt;
        meanRun += (run - meanRun) * 0.05;
        Kind k = kinds[w.kind];
        k.cost = k.cost * 0.99 + r.cost;
        k.run = k.run * 0.99 + run;
        w.cost = w.cost * 0.8 + r.cost;
        w.run = w.run * 0.8 + run;
    }

    private void retry(Request r) {
        Attempt first = mayHaveRun(r);
        Attempt last = r.attempts.get(r.attempts.size() - 1);
        boolean said = last.ending == Ending.ERROR && last.worker.places > 0; // by its worker: the job's end
        if (said) r.aim = now;
        boolean spent = said || r.attempts.size() >= set.limits().maxAttempts();
        if (spent || first != null && !mayRun(r, first.worker)) finish(r);
        else hold(r);
    }

    private static Attempt mayHaveRun(Request r) {
        for (Attempt a : r.attempts) if (a.ending == null || !a.ending.neverRan()) return a;
        return null;
    }

    /** Kind fits and, rule 2: free, or nothing may have run, or the group still drops repeats. */
    private boolean mayRun(Request r, Worker w) {
        Attempt first = mayHaveRun(r);
        if (r.cls.kind() >= 0 && r.cls.kind() != w.kind) return false;
        if (first == null || r.cls.effect() == Effect.FREE) return true;
        boolean drops = r.cls.effect() == Effect.GUARDED && now < first.sentAt + r.cls.windowMs();
        return drops
                && switch (r.cls.scope()) {
                    case ALL -> true;
                    case ZONE -> first.worker.zone == w.zone;
                    case CELL -> first.worker.cell == w.cell;
                };
    }

    /** The one place where attempts start; rules 1 to 4 are checked here for every path. */
    private boolean send(Request r, Worker w) {
        if (r.done
                || w.phase != Phase.SERVING
                || r.attempts.size() >= set.limits().maxAttempts()
                || r.attemptsOut > 0 && !set.limits().parallelTries()
                || !mayRun(r, w)
                || now >= r.deadline - set.leastLeftMs()
                || !coldAllows(r, w)) {
            return false;
        }
        Attempt a = new Attempt(w, now, r.job.slots());
        r.attempts.add(a);
        r.attemptsOut++;
        r.isHeld = false;
        spare.remove(r);
        r.rounds = 0;
        if (!linked(w)) w.links = now - w.idleSince < set.limits().keepaliveMs() ? w.links + 1 : w.jobs + 1;
        w.own += a.need;
        w.jobs++;
        if (w.places > 0 && w.own >= w.places) occupy(w);
        w.room -= a.need;
        w.turn = -order++;
        w.lastSent = now;
        out.assign(r.job.id(), w.id, 0);
        watchStart(r, a);
        return true;
    }

    /** Rule 4: work for a cold worker only as this dispatcher's part of its budget has been saved up. */
    private boolean coldAllows(Request r, Worker w) {
        double age = now - w.cameUp;
        Rules rule = set.rules();
        if (w.cameUp <= 0 || age >= rule.coldMs() || rule.coldMs() <= 0) return true;
        double share = rule.coldFrom() + (1 - rule.coldFrom()) * Math.max(0, age) / rule.coldMs();
        Kind k = kinds[w.kind];
        double rate = COLD_PART * rule.fallMultiple() * share * k.slots * k.speed();
        double need = Math.max(r.cost, meanCost * COLD_PART / COLD_JOBS); // the rule counts jobs of mean work
        // A draw from the seed spreads the first jobs of all dispatchers evenly over time.
        double saved = (now - Math.max(w.lastSent, w.coldSince)) * (rate / set.balancers())
                + (w.lastSent < w.coldSince ? w.coldDraw * need : 0);
        return need <= saved && r.cost <= rate * rule.fallMs() / 4;
    }

    /** The one place for this dispatcher's final answers: refused only where that is harmless and of use. */
    private void finish(Request r) {
        if (r.done) return;
        boolean harmless = mayHaveRun(r) == null || r.cls.effect() == Effect.FREE;
        double comeBack = Math.min(meanRun, set.limits().maxRetryAfterMs()); // by then a job has run through
        if (harmless && now < r.aim) out.refuse(r.job.id(), comeBack);
        else out.fail(r.job.id());
        for (int i = 0; set.limits().cancelling() && i < r.attempts.size(); i++) {
            if (r.attempts.get(i).ending == null) out.cancel(r.job.id(), i);
        }
        forget(r);
    }

    private void forget(Request r) {
        r.done = true;
        if (r.isHeld) lane(r.job.work()).held.remove(r);
        spare.remove(r);
        if (++moot > 1024 + tasks.size() / 2) {
            tasks.removeIf(t -> t.about != null && t.about.done); // else a job stays here until its deadline
            moot = 0;
        }
        r.isHeld = false;
        if (r.attemptsOut == 0) requests.remove(r.job.id());
    }

    private void at(double when, Runnable what, Request r) {
        tasks.add(new Task(when, order++, what, r));
    }

    /** Runs what is due and keeps one timer with the host, for the next task that still matters. */
    private void settle() {
        while (!tasks.isEmpty()) {
            Task next = tasks.peek();
            boolean over = next.about != null && next.about.done;
            if (!over && next.at > now + TIMER_SLACK_MS) break;
            tasks.poll();
            if (!over) next.what.run();
        }
        if (!tasks.isEmpty() && (wakes.isEmpty() || tasks.peek().at < wakes.peek())) {
            wakes.add(tasks.peek().at);
            out.timer(tasks.peek().at, 0);
        }
    }
}
