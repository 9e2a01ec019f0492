package plumpost.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import plumpost.lab.fleet.FleetLab.One;
import plumpost.lab.script.Script;

/**
 * Covered orders under random faults on any process of a fleet, one after the other: killed, stopped for a while, cut off
 * one way or both, told to end. Clients hand orders in at whichever process, come again under the same key at another
 * when they hear nothing, and ask for each answer again seconds later elsewhere; workers live on. Judged is that each
 * acknowledged order has a final answer, that none ran twice, and that what was answered as done did run.
 */
public final class KillRun {
    private static final String FUNCTION = "order-lab";
    private static final String BACK = " expect takes part\n";
    private static final int CLIENTS = 4;
    private static final int ANSWER_MS = 25_000;
    private static final double ASK_AGAIN_MS = 6_000;
    private static final int PAUSE_MS = 30;
    private static final double PATIENCE_MS = 60_000;

    /** What a run came to. */
    public record Result(
            long seed,
            int processes,
            double tookS,
            Map<String, Integer> faults,
            int taken,
            int done,
            int failed,
            List<String> broken) {
        /** For people. */
        public String table() {
            StringBuilder all = new StringBuilder(String.format(
                    "%d processes, seed %d, %.0f s: %d faults %s, %d orders "
                            + "acknowledged, %d done, %d given up as may-have-run%n",
                    processes,
                    seed,
                    tookS,
                    faults.values().stream().mapToInt(Integer::intValue).sum(),
                    faults,
                    taken,
                    done,
                    failed));
            broken.forEach(b -> all.append("BROKEN ").append(b).append('\n'));
            return all.append(broken.isEmpty() ? "no rule broken\n" : "").toString();
        }
    }

    private record Left(String key, double atMs) {}

    private final FleetLab lab;
    private final Random random;
    private final long seed;
    private final PrintStream out;
    private final FleetPlayer player;
    private final Map<String, Integer> faults = new TreeMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final StringBuilder schedule = new StringBuilder();
    private volatile boolean over;

    /** A run on a fleet that is not started yet and covers orders. */
    public KillRun(FleetLab lab, long seed, PrintStream out) {
        this.lab = lab;
        this.seed = seed;
        this.random = new Random(seed);
        this.out = out;
        player = new FleetPlayer(lab);
    }

    /** Runs until so many faults have struck; then waits for every answer. */
    public Result run(int wanted, double mostS) throws IOException, InterruptedException {
        List<Hands> hands = new ArrayList<>();
        for (One o : lab.all()) {
            o.start();
        }
        for (One o : lab.all()) {
            if (lab.history()
                            .await(
                                    0,
                                    PATIENCE_MS,
                                    s -> s.who().equals(o.name()) && s.words().contains("takes part"))
                    == null) {
                lab.history().add(o.name(), "stuck", "it does not take part");
            }
            hands.add(new Hands(o, lab.history(), 3, 20, FUNCTION));
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Thread t = new Thread(() -> client(n, new Random(seed * 31 + n)), "client " + i);
            clients.add(t);
            t.start();
        }
        for (int n = 0; n < wanted && lab.history().nowMs() < mostS * 1000; n++) {
            String text = draw(lab.all().get(random.nextInt(lab.all().size())).name());
            schedule.append(text);
            for (Script.Step s : Script.parse("fault " + n, text).steps()) {
                player.play(s);
            }
            if ((n + 1) % 20 == 0) {
                out.printf("%d faults after %.0f s%n", n + 1, lab.history().nowMs() / 1000);
            }
        }
        over = true;
        for (Thread t : clients) {
            t.join();
        }
        hands.forEach(Hands::close);
        lab.history().of("stuck").forEach(s -> broken.add(s.who() + ": " + s.words()));
        return judge();
    }

    /** The schedule as it was drawn: a text of the scenario language. */
    public String schedule() {
        return schedule.toString();
    }

    private String draw(String who) {
        List<String> kinds = List.of("kill", "stop", "cut sends hears", "cut sends", "cut hears", "term");
        String kind = kinds.get(random.nextInt(kinds.size()));
        faults.merge(kind, 1, Integer::sum);
        String text = "wait " + (random.nextInt(10) / 10.0) + "\n" + who + " send " + kind + "\n";
        if (kind.equals("kill") || kind.equals("term")) {
            return text + who + " expect ended\n" + who + " send start\n" + who + BACK;
        }
        // Shorter than a lease, longer, and longer than it takes to be called lost; only the last begins a new life.
        int tenths = List.of(5, 12, 25, 40).get(random.nextInt(4));
        text += "wait " + tenths / 10.0 + "\n" + who + " send " + (kind.equals("stop") ? "cont" : "heal") + "\n";
        return text + (tenths > 20 ? who + BACK : "wait 1\n");
    }

    private void client(int n, Random mine) {
        ArrayDeque<Left> left = new ArrayDeque<>();
        for (int i = 0; !over || !left.isEmpty(); i++) {
            if (!over) {
                String key = "c" + n + "-" + i;
                if (mine.nextInt(4) == 0) {
                    answered(key, ask(key, mine));
                } else if (leave(key, mine)) {
                    left.add(new Left(key, lab.history().nowMs()));
                }
            }
            if (!left.isEmpty() && (over || lab.history().nowMs() - left.peek().atMs > ASK_AGAIN_MS)) {
                String key = left.poll().key;
                answered(key, ask(key, mine));
            }
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private One any(Random mine) {
        return lab.all().get(mine.nextInt(lab.all().size()));
    }

    /** Hands a background order in, at one after the other until it is acknowledged. */
    private boolean leave(String key, Random mine) {
        for (int tries = 0; tries < 200 && !over; tries++) {
            if (Hands.leave(any(mine), lab.history(), FUNCTION, key) != null) {
                return true;
            }
            pause();
        }
        return false;
    }

    /** The final answer under a key, asked for at one after the other until there is one; null where none came. */
    private String ask(String key, Random mine) {
        for (double until = lab.history().nowMs() + 2 * PATIENCE_MS;
                lab.history().nowMs() < until; ) {
            String answer = Hands.call(any(mine), lab.history(), FUNCTION, key, ANSWER_MS);
            if ("WORK_COMPLETE".equals(answer) || "WORK_FAIL".equals(answer)) {
                return answer;
            }
            pause();
        }
        return null;
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void answered(String key, String answer) {
        if (answer == null) {
            broken.add("the order " + key + " has no answer after " + 2 * PATIENCE_MS / 1000 + " s");
        }
        answers.put(key, answer);
    }

    private static String key(History.Seen s) {
        return s.words().substring(0, s.words().indexOf(' '));
    }

    private synchronized Result judge() {
        Map<String, Integer> runs = new HashMap<>();
        lab.history().of("run").forEach(s -> runs.merge(s.words(), 1, Integer::sum));
        runs.forEach((key, n) -> {
            if (n > 1) {
                broken.add("the order " + key + " ran " + n + " times");
            }
        });
        // What was acknowledged and forgotten would be another order when its client comes again: it has one handle for
        // good.
        Map<String, Set<String>> handles = new HashMap<>();
        lab.history()
                .of("taken")
                .forEach(s ->
                        handles.computeIfAbsent(key(s), k -> new TreeSet<>()).add(s.words()));
        lab.history().of("joined").stream()
                .filter(s -> handles.containsKey(key(s)))
                .forEach(s -> handles.get(key(s)).add(s.words()));
        handles.forEach((key, all) -> {
            if (all.size() > 1) {
                broken.add("the order " + key + " was acknowledged and then forgotten: " + all);
            }
        });
        answers.forEach((key, answer) -> {
            if ("WORK_COMPLETE".equals(answer) && !runs.containsKey(key)) {
                broken.add("the order " + key + " is answered as done and never ran");
            }
        });
        int done =
                (int) answers.values().stream().filter("WORK_COMPLETE"::equals).count();
        int failed = (int) answers.values().stream().filter("WORK_FAIL"::equals).count();
        return new Result(
                seed,
                lab.all().size(),
                lab.history().nowMs() / 1000,
                faults,
                answers.size(),
                done,
                failed,
                List.copyOf(broken));
    }
}
