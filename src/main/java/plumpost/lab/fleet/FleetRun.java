package plumpost.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.One;
import plumpost.lab.script.Script;

/**
 * A seeded run of random faults on a fleet of real processes, until the schedule has changed its owner so often: the
 * owner is killed, stopped, cut off one way or both, told to end, or passes its duty on, under scheduled jobs that never
 * cease. Written down is how long nobody owned it; judged is the history alone, by {@link FleetCheck}.
 */
public final class FleetRun {
    private static final String BACK = "owner expect takes part\n";
    private static final double PATIENCE_MS = 60_000;
    private static final long SETTLE_MS = 120_000;

    /** Kinds of fault, each with the owner as what it happens to. */
    public enum Kind {
        KILL("kill"),
        STOP("stop"),
        CUT("cut sends hears"),
        CUT_SENDS("cut sends"),
        CUT_HEARS("cut hears"),
        TERM("term"),
        YIELD("yield"),
        OTHER("");

        private final String words;

        Kind(String words) {
            this.words = words;
        }

        /** The kind of a fault by its words in a script. */
        static Kind of(String fault) {
            return Arrays.stream(values())
                    .filter(k -> k.words.equals(fault))
                    .findFirst()
                    .orElse(OTHER);
        }
    }

    /** A change: the time from the fault until another process said that it owned the duty. */
    public record Change(Kind kind, double gapMs) {}

    /**
     * What a run came to.
     *
     * @param changes changes of owner that the faults caused
     * @param fences how many ownerships the history shows, those by levelling and return too
     * @param broken rules that the history breaks, in words
     */
    public record Result(
            long seed,
            int processes,
            double tookS,
            List<Change> changes,
            int fences,
            int taken,
            int runs,
            int givenUp,
            List<String> broken) {
        /** The times without an owner by kind of fault. */
        public Map<Kind, Histogram> gaps() {
            Map<Kind, Histogram> all = new TreeMap<>();
            changes.forEach(
                    c -> all.computeIfAbsent(c.kind, k -> new Histogram(3)).recordValue(Math.round(c.gapMs)));
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
    /** Handles of jobs that the fleet says it gave up: it remembers the latest, so they are gathered all along. */
    private final Set<String> givenUp = new HashSet<>();

    private final StringBuilder schedule = new StringBuilder();
    private final FleetPlayer player;
    private int jobs;
    private int rounds;

    /** A run on a fleet that is not started yet. */
    public FleetRun(FleetLab lab, long seed, PrintStream out) {
        this.lab = lab;
        this.seed = seed;
        this.random = new Random(seed);
        this.out = out;
        player = new FleetPlayer(lab);
    }

    /** Runs until so many changes were seen or so much time is over. */
    public Result run(int wanted, double mostS) throws IOException, InterruptedException {
        begin();
        while (changes.size() < wanted && lab.history().nowMs() < mostS * 1000) {
            Kind kind = Kind.values()[random.nextInt(Kind.OTHER.ordinal())];
            round(kind);
            if (changes.size() % 10 == 0) {
                out.printf(
                        "%d changes after %.0f s%n",
                        changes.size(), lab.history().nowMs() / 1000);
            }
        }
        return end();
    }

    private void begin() throws IOException, InterruptedException {
        for (One o : lab.all()) {
            o.start();
        }
        for (One o : lab.all()) {
            heard(o);
            hands.add(new Hands(o, lab.history(), 2, 2, "order-lab", "plan-lab"));
        }
    }

    private Result end() throws InterruptedException {
        settle();
        hands.forEach(Hands::close);
        List<String> broken = FleetCheck.broken(lab.history(), givenUp);
        missed.forEach((k, n) -> out.printf("%d faults of kind %s changed no owner in time%n", n, k));
        return new Result(
                seed,
                lab.all().size(),
                lab.history().nowMs() / 1000,
                List.copyOf(changes),
                FleetCheck.owners(lab.history()).size(),
                lab.history().of("taken").size(),
                lab.history().of("run").size(),
                givenUp.size(),
                broken);
    }

    private void heard(One o) throws InterruptedException {
        if (lab.history()
                        .await(
                                0,
                                PATIENCE_MS,
                                x -> x.who().equals(o.name())
                                        && x.what().equals("log")
                                        && x.words().contains("takes part"))
                == null) {
            lab.history().add(o.name(), "stuck", "it does not take part");
        }
    }

    /** Draws a fault with jobs before it and its repair after it, as a text of the scenario language. */
    private String draw(Kind kind) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            text.append("desk send plan ")
                    .append(lab.all().get(random.nextInt(lab.all().size())).name())
                    .append(' ')
                    .append(random.nextBoolean() ? "order-lab" : "plan-lab")
                    .append(" j")
                    .append(jobs++)
                    .append(' ')
                    .append(random.nextInt(3))
                    .append('\n');
        }
        text.append("owner send ").append(kind.words).append("\nowner expect replaced\n");
        return text.append(
                        switch (kind) {
                            case KILL, TERM -> "owner expect ended\nowner send start\n" + BACK;
                            case STOP -> "owner send cont\n" + BACK;
                            case CUT, CUT_SENDS, CUT_HEARS -> "owner send heal\n" + BACK;
                            default -> "";
                        })
                .toString();
    }

    private void round(Kind kind) throws IOException, InterruptedException {
        String text = draw(kind);
        schedule.append("# ").append(kind).append('\n').append(text);
        play(Script.parse("round " + rounds++, text));
        for (One o : lab.all()) {
            Fields page = lab.show(o);
            if (page != null) {
                gather(page);
                break;
            }
        }
    }

    /** The schedule as it was drawn so far: a text of the scenario language that can be played again. */
    public String schedule() {
        return schedule.toString();
    }

    /** Plays a schedule that was written down in place of drawing one. */
    public Result replay(Script script) throws IOException, InterruptedException {
        begin();
        play(script);
        return end();
    }

    private void play(Script script) throws IOException, InterruptedException {
        for (Script.Step s : script.steps()) {
            double gapMs = player.play(s);
            if (Double.isInfinite(gapMs)) {
                missed.merge(Kind.of(player.fault()), 1, Integer::sum);
            } else if (!Double.isNaN(gapMs)) {
                changes.add(new Change(Kind.of(player.fault()), gapMs));
            }
        }
    }

    private void gather(Fields page) {
        page.object("schedule").list("givenUp").forEach(o -> givenUp.add(String.valueOf(o)));
    }

    /** Waits until nothing waits or runs any more. */
    private void settle() throws InterruptedException {
        double until = lab.history().nowMs() + SETTLE_MS;
        while (lab.history().nowMs() < until) {
            for (One o : lab.all()) {
                Fields page = lab.show(o);
                if (page != null) {
                    Fields s = page.object("schedule");
                    gather(page);
                    if (s.whole("waiting") + s.whole("fired") + s.whole("begun") == 0) {
                        return;
                    }
                    break;
                }
            }
            Thread.sleep(200);
        }
        lab.history().add("fleet", "stuck", "planned jobs are not over after " + SETTLE_MS / 1000 + " s");
    }
}
