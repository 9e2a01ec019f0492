package plumpost.lab.fleet;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;
import plumpost.lab.script.Script.Step;

/**
 * Plays scripts of the scenario language on a fleet of real processes. A peer is a process by its name; {@code owner}, the
 * process that owned the schedule when the last fault hit it; or {@code desk}, which submits jobs. What is sent is an
 * action: {@code kill}, {@code stop}, {@code cont}, {@code term}, {@code start}, {@code yield}, {@code
 * wipe}, {@code cut sends}, {@code cut hears}, {@code cut sends hears}, {@code heal}, {@code disk MS}, {@code halt
 * BOUNDARY}, {@code go on}; for the desk {@code plan PROCESS FUNCTION KEY SECONDS}. What is expected is {@code ended}, {@code
 * replaced} (another process logs that it owns the schedule) or a text in the peer's log since the last action on a process.
 */
final class FleetPlayer {
    private static final Pattern OWNED = Pattern.compile("schedule under fence (\\d+) is (\\w+)'s, incarnation (\\d+)");
    private static final double TIMEOUT_MS = 60_000;
    private static final double REPLACEMENT_TIMEOUT_MS = 15_000;

    private final FleetLab lab;
    private SchedulerProcess owner;
    private double faultAtMs;
    private String lastFault = "";
    private String haltBoundary = "";

    FleetPlayer(FleetLab lab) {
        this.lab = lab;
    }

    /**
     * Plays one step. Returns the milliseconds that a replacement took, infinity if none came in time, or NaN for any other
     * step. A process that does not do what is expected is recorded in the history as stuck; a missing replacement is
     * not, since its log line may have been lost.
     */
    double play(Step step) throws IOException, InterruptedException {
        switch (step.verb()) {
            case PASS -> Thread.sleep(Math.round(Double.parseDouble(step.text()) * 1000));
            case SEND -> send(step);
            case EXPECT -> {
                return expect(step);
            }
            default -> throw new BadInput(step.location() + ": a fleet script can only send, expect and wait");
        }
        return Double.NaN;
    }

    private SchedulerProcess target(Step step) throws InterruptedException {
        SchedulerProcess process = step.peer().equals("owner") ? owner : lab.process(step.peer());
        if (process == null) {
            throw new BadInput(step.location() + ": no process " + step.peer());
        }
        return process;
    }

    private void send(Step step) throws IOException, InterruptedException {
        List<String> words = Arrays.asList(step.text().split(" "));
        if (step.peer().equals("desk")) {
            if (words.size() != 5 || !words.get(0).equals("plan") || lab.process(words.get(1)) == null) {
                throw new BadInput(step.location() + ": " + step.text() + " is not plan PROCESS FUNCTION KEY SECONDS");
            }
            LabWorkers.submitScheduled(
                    lab.process(words.get(1)),
                    lab.history(),
                    words.get(2),
                    words.get(3),
                    System.currentTimeMillis() / 1000 + Long.parseLong(words.get(4)));
            return;
        }
        boolean repairs = List.of("cont", "start", "heal", "go").contains(words.get(0));
        if (step.peer().equals("owner") && !repairs) {
            owner = owner();
        }
        SchedulerProcess process = target(step);
        faultAtMs = lab.history().nowMs();
        lastFault = repairs ? lastFault : step.text();
        switch (words.get(0)) {
            case "kill", "stop", "cont", "term" -> process.signal(words.get(0).toUpperCase(java.util.Locale.ROOT));
            case "start" -> process.start();
            case "wipe" -> process.deleteData();
            case "disk" -> process.setSyncDelay(Integer.parseInt(words.get(1)));
            case "halt" -> process.setHalt(haltBoundary = step.text().substring("halt ".length()), true);
            case "go" -> process.setHalt(haltBoundary, false);
            case "cut" -> lab.cutOff(process.name(), words.contains("sends"), words.contains("hears"), true);
            case "heal" -> lab.cutOff(process.name(), true, true, false);
            case "yield" -> yieldSchedule(process);
            default -> throw new BadInput(step.location() + ": unknown action " + step.text());
        }
    }

    private void yieldSchedule(SchedulerProcess process) throws IOException {
        lab.history().add(process.name(), "yield", "");
        try {
            lab.runCommand(lab.processes().get(0), "yield", "schedule");
        } catch (BadInput e) {
            lab.history().add(process.name(), "not yielded", e.getMessage());
        }
    }

    private double expect(Step step) throws IOException, InterruptedException {
        SchedulerProcess process = target(step);
        if (step.text().equals("ended")) {
            if (!process.awaitExit(Math.round(TIMEOUT_MS))) {
                lab.history().add(process.name(), "stuck", "it does not end");
                process.signal("KILL");
                process.awaitExit(Math.round(TIMEOUT_MS));
            }
        } else if (step.text().equals("replaced")) {
            History.Event replacement = lab.history().await(faultAtMs, REPLACEMENT_TIMEOUT_MS, event -> {
                Matcher matcher = event.kind().equals("log") ? OWNED.matcher(event.text()) : null;
                return matcher != null
                        && matcher.find()
                        && matcher.group(2).equals(event.source())
                        && !event.source().equals(process.name());
            });
            return replacement == null ? Double.POSITIVE_INFINITY : replacement.atMs() - faultAtMs;
        } else if (lab.history()
                        .await(
                                faultAtMs,
                                TIMEOUT_MS,
                                event -> event.source().equals(process.name())
                                        && event.kind().equals("log")
                                        && event.text().contains(step.text()))
                == null) {
            lab.history().add(process.name(), "stuck", "its log does not contain: " + step.text());
        }
        return Double.NaN;
    }

    private SchedulerProcess owner() throws InterruptedException {
        for (int i = 0; i < 600; i++) {
            for (SchedulerProcess candidate : lab.processes()) {
                Fields status = lab.show(candidate);
                if (status != null) {
                    SchedulerProcess found = lab.process(FleetLab.ownerOf(status, "schedule"));
                    if (found != null) {
                        return found;
                    }
                    break;
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("no owner of the schedule found in 60 s");
    }

    /** Returns the text of the last fault, or an empty string. */
    String lastFault() {
        return lastFault;
    }
}
