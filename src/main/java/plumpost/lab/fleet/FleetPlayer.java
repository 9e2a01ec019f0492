package plumpost.lab.fleet;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.One;
import plumpost.lab.script.Script.Step;

/**
 * Plays faults on a fleet of real processes from texts of the scenario language. A peer is a process by its name, {@code
 * owner}, which is whoever owned the schedule when the last fault struck it, or {@code desk}, at which jobs are handed
 * in. Sent is what is done: {@code kill}, {@code stop}, {@code cont}, {@code term}, {@code start}, {@code yield}, {@code
 * wipe}, {@code cut sends}, {@code cut hears}, {@code cut sends hears}, {@code heal}, {@code disk MS}, {@code halt
 * BOUNDARY}, {@code go on}; of the desk {@code plan PROCESS FUNCTION KEY SECONDS}. Expected is {@code ended}, {@code
 * replaced} (another says that it owns the schedule) or words of the peer's log since the fault.
 */
final class FleetPlayer {
    private static final Pattern OWNED = Pattern.compile("schedule under fence (\\d+) is (\\w+)'s, incarnation (\\d+)");
    private static final double PATIENCE_MS = 60_000;
    private static final double REPLACED_MS = 15_000;

    private final FleetLab lab;
    private One owner;
    private double struckMs;
    private String fault = "";
    private String boundary = "";

    FleetPlayer(FleetLab lab) {
        this.lab = lab;
    }

    /**
     * Plays one step; how many milliseconds a replacement took, or NaN. A process that does not do what is expected of it
     * is written into the history as stuck; a replacement that does not come is not, since a word may have been lost.
     */
    double play(Step s) throws IOException, InterruptedException {
        switch (s.verb()) {
            case PASS -> Thread.sleep(Math.round(Double.parseDouble(s.words()) * 1000));
            case SEND -> send(s);
            case EXPECT -> {
                return expect(s);
            }
            default -> throw new BadInput(s.place() + ": a fleet's script sends, expects and waits");
        }
        return Double.NaN;
    }

    private One peer(Step s) throws InterruptedException {
        One one = s.who().equals("owner") ? owner : lab.one(s.who());
        if (one == null) {
            throw new BadInput(s.place() + ": no process " + s.who());
        }
        return one;
    }

    private void send(Step s) throws IOException, InterruptedException {
        List<String> words = Arrays.asList(s.words().split(" "));
        if (s.who().equals("desk")) {
            if (words.size() != 5 || !words.get(0).equals("plan") || lab.one(words.get(1)) == null) {
                throw new BadInput(s.place() + ": " + s.words() + " is not plan PROCESS FUNCTION KEY SECONDS");
            }
            Hands.plan(
                    lab.one(words.get(1)),
                    lab.history(),
                    words.get(2),
                    words.get(3),
                    System.currentTimeMillis() / 1000 + Long.parseLong(words.get(4)));
            return;
        }
        boolean repairs = List.of("cont", "start", "heal", "go").contains(words.get(0));
        if (s.who().equals("owner") && !repairs) {
            owner = owner();
        }
        One one = peer(s);
        struckMs = lab.history().nowMs();
        fault = repairs ? fault : s.words();
        switch (words.get(0)) {
            case "kill", "stop", "cont", "term" -> one.signal(words.get(0).toUpperCase(java.util.Locale.ROOT));
            case "start" -> one.start();
            case "wipe" -> one.wipe();
            case "disk" -> one.slowDisk(Integer.parseInt(words.get(1)));
            case "halt" -> one.halt(boundary = s.words().substring("halt ".length()), true);
            case "go" -> one.halt(boundary, false);
            case "cut" -> lab.cutOff(one.name(), words.contains("sends"), words.contains("hears"), true);
            case "heal" -> lab.cutOff(one.name(), true, true, false);
            case "yield" -> pass(one);
            default -> throw new BadInput(s.place() + ": nothing like " + s.words() + " is done to a process");
        }
    }

    private void pass(One one) throws IOException {
        lab.history().add(one.name(), "yield", "");
        try {
            lab.call(lab.all().get(0), "yield", "schedule");
        } catch (BadInput e) {
            lab.history().add(one.name(), "not yielded", e.getMessage());
        }
    }

    private double expect(Step s) throws IOException, InterruptedException {
        One one = peer(s);
        if (s.words().equals("ended")) {
            if (!one.ended(Math.round(PATIENCE_MS))) {
                lab.history().add(one.name(), "stuck", "it does not end");
                one.signal("KILL");
                one.ended(Math.round(PATIENCE_MS));
            }
        } else if (s.words().equals("replaced")) {
            History.Seen other = lab.history().await(struckMs, REPLACED_MS, x -> {
                Matcher m = x.what().equals("log") ? OWNED.matcher(x.words()) : null;
                return m != null
                        && m.find()
                        && m.group(2).equals(x.who())
                        && !x.who().equals(one.name());
            });
            return other == null ? Double.POSITIVE_INFINITY : other.atMs() - struckMs;
        } else if (lab.history()
                        .await(
                                struckMs,
                                PATIENCE_MS,
                                x -> x.who().equals(one.name())
                                        && x.what().equals("log")
                                        && x.words().contains(s.words()))
                == null) {
            lab.history().add(one.name(), "stuck", "it does not say: " + s.words());
        }
        return Double.NaN;
    }

    private One owner() throws InterruptedException {
        for (int i = 0; i < 600; i++) {
            for (One o : lab.all()) {
                Fields page = lab.show(o);
                if (page != null) {
                    One found = lab.one(FleetLab.owner(page, "schedule"));
                    if (found != null) {
                        return found;
                    }
                    break;
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("nobody owns the schedule for a minute");
    }

    /** The words of the last fault. */
    String fault() {
        return fault;
    }
}
