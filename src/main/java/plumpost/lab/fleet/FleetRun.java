package plumpost.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.One;

/**
 * A seeded run of random faults on a fleet of real processes, until the schedule has changed its owner so often: the
 * owner is killed, stopped, cut off one way or both, told to end, or passes its duty on, under scheduled jobs that never
 * cease. Written down is how long nobody owned it; judged is the history alone, by {@link FleetCheck}.
 */
public final class FleetRun {
    private static final Pattern OWNED = Pattern.compile("schedule under fence (\\d+) is (\\w+)'s, incarnation (\\d+)");
    private static final double PATIENCE_MS = 60_000;
    private static final long SETTLE_MS = 120_000;

    /** Kinds of fault, each with the owner as what it happens to. */
    public enum Kind { KILL, STOP, CUT, CUT_SENDS, CUT_HEARS, TERM, YIELD }

    /** A change: the time from the fault until another process said that it owned the duty. */
    public record Change(Kind kind, double gapMs) { }

    /**
     * What a run came to.
     *
     * @param changes changes of owner that the faults caused
     * @param fences how many ownerships the history shows, those by levelling and return too
     * @param broken rules that the history breaks, in words
     */
    public record Result(long seed, int processes, double tookS, List<Change> changes, int fences, int taken, int runs,
                         int givenUp, List<String> broken) {
        /** The times without an owner by kind of fault. */
        public Map<Kind, Histogram> gaps() {
            Map<Kind, Histogram> all = new TreeMap<>();
            changes.forEach(c -> all.computeIfAbsent(c.kind, k -> new Histogram(3)).recordValue(Math.round(c.gapMs)));
            return all;
        }
    }

    private final FleetLab lab;
    private final Random random;
    private final long seed;
    private final PrintStream out;
    private final List<Change> changes = new ArrayList<>();
    private final List<Hands> hands = new ArrayList<>();
    private final Map<Kind, Integer> missed = new LinkedHashMap<>();
    private int jobs;

    /** A run on a fleet that is not started yet. */
    public FleetRun(FleetLab lab, long seed, PrintStream out) {
        this.lab = lab;
        this.seed = seed;
        this.random = new Random(seed);
        this.out = out;
    }

    /** Runs until so many changes were seen or so much time is over. */
    public Result run(int wanted, double mostS) throws IOException, InterruptedException {
        for (One o : lab.all()) {
            o.start();
        }
        for (One o : lab.all()) {
            heard(o, 0);
            hands.add(new Hands(o, lab.history(), 2, 2, "order-lab", "plan-lab"));
        }
        while (changes.size() < wanted && lab.history().nowMs() < mostS * 1000) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            round(kind);
            if (changes.size() % 10 == 0) {
                out.printf("%d changes after %.0f s%n", changes.size(), lab.history().nowMs() / 1000);
            }
        }
        int givenUp = settle();
        hands.forEach(Hands::close);
        List<String> broken = FleetCheck.broken(lab.history(), givenUp);
        missed.forEach((k, n) -> out.printf("%d faults of kind %s changed no owner in time%n", n, k));
        return new Result(seed, lab.all().size(), lab.history().nowMs() / 1000, List.copyOf(changes),
            FleetCheck.owners(lab.history()).size(), lab.history().of("taken").size(), lab.history().of("run").size(),
            givenUp, broken);
    }

    private void heard(One o, double since) throws InterruptedException {
        History.Seen s = lab.history().await(since, PATIENCE_MS, x -> x.who().equals(o.name()) && x.what().equals("log")
            && x.words().contains("takes part"));
        if (s == null) {
            lab.history().add(o.name(), "stuck", "it does not take part again");
            out.println(o.name() + " does not take part again, " + Math.round(lab.history().nowMs()) + " ms");
        }
    }

    private One owner() throws InterruptedException {
        for (int i = 0; i < 600; i++) {
            for (One o : lab.all()) {
                Fields page = lab.show(o);
                if (page != null) {
                    One owner = lab.one(FleetLab.owner(page, "schedule"));
                    if (owner != null) {
                        return owner;
                    }
                    break;
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("nobody owns the schedule for a minute");
    }

    private void round(Kind kind) throws IOException, InterruptedException {
        One owner = owner();
        for (int i = 0; i < 4; i++) {
            One at = lab.all().get(random.nextInt(lab.all().size()));
            String key = "j" + jobs++;
            Hands.plan(at, lab.history(), random.nextBoolean() ? "order-lab" : "plan-lab", key,
                System.currentTimeMillis() / 1000 + random.nextInt(3));
        }
        double at = lab.history().nowMs();
        boolean sends = kind == Kind.CUT || kind == Kind.CUT_SENDS;
        boolean hears = kind == Kind.CUT || kind == Kind.CUT_HEARS;
        switch (kind) {
            case KILL, STOP, TERM -> owner.signal(kind.name());
            case YIELD -> {
                lab.history().add(owner.name(), "yield", "");
                try {
                    lab.call(lab.all().get(random.nextInt(lab.all().size())), "yield", "schedule");
                } catch (RuntimeException e) {
                    lab.history().add(owner.name(), "not yielded", e.getMessage());
                }
            }
            default -> lab.cutOff(owner.name(), sends, hears, true);
        }
        History.Seen other = lab.history().await(at, 15_000, s -> {
            Matcher m = s.what().equals("log") ? OWNED.matcher(s.words()) : null;
            return m != null && m.find() && m.group(2).equals(s.who()) && !s.who().equals(owner.name());
        });
        if (other != null) {
            changes.add(new Change(kind, other.atMs() - at));
        } else {
            missed.merge(kind, 1, Integer::sum);
        }
        double back = lab.history().nowMs();
        switch (kind) {
            case KILL, TERM -> {
                if (!owner.ended(60_000)) {
                    lab.history().add(owner.name(), "stuck", "it does not end");
                    owner.signal("KILL");
                    owner.ended(10_000);
                }
                owner.start();
                heard(owner, back);
            }
            case STOP -> {
                owner.signal("CONT");
                heard(owner, back);
            }
            case YIELD -> { }
            default -> {
                lab.cutOff(owner.name(), sends, hears, false);
                heard(owner, back);
            }
        }
    }

    /** Waits until nothing waits or runs any more; returns how many jobs the fleet says it gave up. */
    private int settle() throws InterruptedException {
        double until = lab.history().nowMs() + SETTLE_MS;
        int givenUp = -1;
        while (lab.history().nowMs() < until) {
            for (One o : lab.all()) {
                Fields page = lab.show(o);
                if (page != null) {
                    Fields s = page.object("schedule");
                    givenUp = s.list("givenUp").size();
                    if (s.whole("waiting") + s.whole("fired") + s.whole("begun") == 0) {
                        return givenUp;
                    }
                    break;
                }
            }
            Thread.sleep(200);
        }
        lab.history().add("fleet", "stuck", "planned jobs are not over after " + SETTLE_MS / 1000 + " s");
        return givenUp;
    }
}
