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
import plumpost.lab.fleet.FleetLab.SchedulerProcess;
import plumpost.lab.script.Script;

/**
 * Seeded run of random faults on a fleet of real processes until the schedule has changed its owner a given number of
 * times. In each round the owner is killed, stopped, cut off in one or both directions, terminated or asked to yield its
 * duty, while scheduled jobs are submitted. The run records how long nobody owned the schedule; {@link FleetCheck} checks
 * the history.
 */
public final class FleetRun {
    private static final String EXPECT_REJOINED = "owner expect takes part\n";
    private static final double JOIN_TIMEOUT_MS = 60_000;
    private static final long SETTLE_TIMEOUT_MS = 120_000;

    /** Kinds of fault; each is injected at the owner of the schedule. */
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

        /** Returns the kind of a fault by its text in a script. */
        static Kind of(String fault) {
            return Arrays.stream(values())
                    .filter(k -> k.words.equals(fault))
                    .findFirst()
                    .orElse(OTHER);
        }
    }

    /** A change of owner: the time from the fault until another process logged that it owned the duty. */
    public record Change(Kind kind, double gapMs) {}

    /**
     * Result of a run.
     *
     * @param changes changes of owner that the faults caused
     * @param fences ownerships in the history, including those from balancing and from the return of a process
     * @param violations descriptions of the rules that the history breaks
     */
    public record Result(
            long seed,
            int processes,
            double durationS,
            List<Change> changes,
            int fences,
            int accepted,
            int runs,
            int givenUp,
            List<String> violations) {
        /** Returns histograms of the milliseconds without an owner, by kind of fault. */
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
    private final List<LabWorkers> workers = new ArrayList<>();
    private final Map<Kind, Integer> withoutChange = new LinkedHashMap<>();
    /** Handles of jobs that were given up; the fleet remembers only the latest, so they are collected after each round. */
    private final Set<String> givenUp = new HashSet<>();

    private final StringBuilder schedule = new StringBuilder();
    private final FleetPlayer player;
    private int jobs;
    private int rounds;

    /** Prepares a run on a fleet that has not been started yet. */
    public FleetRun(FleetLab lab, long seed, PrintStream out) {
        this.lab = lab;
        this.seed = seed;
        this.random = new Random(seed);
        this.out = out;
        player = new FleetPlayer(lab);
    }

    /** Runs until {@code changeCount} changes of owner were observed or {@code maxDurationS} is over. */
    public Result run(int changeCount, double maxDurationS) throws IOException, InterruptedException {
        startFleet();
        while (changes.size() < changeCount && lab.history().nowMs() < maxDurationS * 1000) {
            Kind kind = Kind.values()[random.nextInt(Kind.OTHER.ordinal())];
            runRound(kind);
            if (changes.size() % 10 == 0) {
                out.printf(
                        "%d changes after %.0f s%n",
                        changes.size(), lab.history().nowMs() / 1000);
            }
        }
        return finish();
    }

    private void startFleet() throws IOException, InterruptedException {
        for (SchedulerProcess process : lab.processes()) {
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            awaitJoined(process);
            workers.add(new LabWorkers(process, lab.history(), 2, 2, "order-lab", "plan-lab"));
        }
    }

    private Result finish() throws InterruptedException {
        awaitScheduleEmpty();
        workers.forEach(LabWorkers::close);
        List<String> broken = FleetCheck.findViolations(lab.history(), givenUp);
        withoutChange.forEach((k, n) -> out.printf("%d faults of kind %s changed no owner in time%n", n, k));
        return new Result(
                seed,
                lab.processes().size(),
                lab.history().nowMs() / 1000,
                List.copyOf(changes),
                FleetCheck.ownersByFence(lab.history()).size(),
                lab.history().ofKind("taken").size(),
                lab.history().ofKind("run").size(),
                givenUp.size(),
                broken);
    }

    private void awaitJoined(SchedulerProcess process) throws InterruptedException {
        if (lab.history()
                        .await(
                                0,
                                JOIN_TIMEOUT_MS,
                                event -> event.source().equals(process.name())
                                        && event.kind().equals("log")
                                        && event.text().contains("takes part"))
                == null) {
            lab.history().add(process.name(), "stuck", "it does not take part");
        }
    }

    /** Draws jobs, a fault and its repair, as a script of the scenario language. */
    private String drawRound(Kind kind) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            text.append("desk send plan ")
                    .append(lab.processes()
                            .get(random.nextInt(lab.processes().size()))
                            .name())
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
                            case KILL, TERM -> "owner expect ended\nowner send start\n" + EXPECT_REJOINED;
                            case STOP -> "owner send cont\n" + EXPECT_REJOINED;
                            case CUT, CUT_SENDS, CUT_HEARS -> "owner send heal\n" + EXPECT_REJOINED;
                            default -> "";
                        })
                .toString();
    }

    private void runRound(Kind kind) throws IOException, InterruptedException {
        String text = drawRound(kind);
        schedule.append("# ").append(kind).append('\n').append(text);
        play(Script.parse("round " + rounds++, text));
        for (SchedulerProcess process : lab.processes()) {
            Fields status = lab.show(process);
            if (status != null) {
                collectGivenUp(status);
                break;
            }
        }
    }

    /** Returns the faults drawn so far as a script of the scenario language, for {@link #replay}. */
    public String schedule() {
        return schedule.toString();
    }

    /** Plays a recorded script instead of drawing faults. */
    public Result replay(Script script) throws IOException, InterruptedException {
        startFleet();
        play(script);
        return finish();
    }

    private void play(Script script) throws IOException, InterruptedException {
        for (Script.Step step : script.steps()) {
            double gapMs = player.play(step);
            if (Double.isInfinite(gapMs)) {
                withoutChange.merge(Kind.of(player.lastFault()), 1, Integer::sum);
            } else if (!Double.isNaN(gapMs)) {
                changes.add(new Change(Kind.of(player.lastFault()), gapMs));
            }
        }
    }

    private void collectGivenUp(Fields status) {
        status.object("schedule").list("givenUp").forEach(process -> givenUp.add(String.valueOf(process)));
    }

    /** Waits until no scheduled job is waiting, fired or begun; records the fleet as stuck on timeout. */
    private void awaitScheduleEmpty() throws InterruptedException {
        double until = lab.history().nowMs() + SETTLE_TIMEOUT_MS;
        while (lab.history().nowMs() < until) {
            for (SchedulerProcess process : lab.processes()) {
                Fields status = lab.show(process);
                if (status != null) {
                    Fields scheduleStatus = status.object("schedule");
                    collectGivenUp(status);
                    if (scheduleStatus.integer("waiting")
                                    + scheduleStatus.integer("fired")
                                    + scheduleStatus.integer("begun")
                            == 0) {
                        return;
                    }
                    break;
                }
            }
            Thread.sleep(200);
        }
        lab.history().add("fleet", "stuck", "scheduled jobs have not ended after " + SETTLE_TIMEOUT_MS / 1000 + " s");
    }
}
