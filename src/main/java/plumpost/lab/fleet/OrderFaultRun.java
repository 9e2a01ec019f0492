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
import plumpost.lab.fleet.FleetLab.SchedulerProcess;
import plumpost.lab.script.Script;

/**
 * Runs covered orders under random faults, one fault at a time on a random process of a fleet: SIGKILL, SIGSTOP for a
 * while, a network cut in one or both directions, SIGTERM. Clients submit orders at random processes, submit again under
 * the same key at another process when they get no answer, and ask for each answer again seconds later elsewhere; the
 * workers are not faulted. The run checks that each acknowledged order gets a final answer, that none ran twice or got a
 * second handle, and that each order answered as done did run.
 */
public final class OrderFaultRun {
    private static final String FUNCTION = "order-lab";
    private static final String EXPECT_REJOINED = " expect takes part\n";
    private static final int CLIENTS = 4;
    private static final int ANSWER_TIMEOUT_MS = 25_000;
    private static final double ASK_AGAIN_AFTER_MS = 6_000;
    private static final int PAUSE_MS = 30;
    private static final double TIMEOUT_MS = 60_000;

    /** Result of a run. */
    public record Result(
            long seed,
            int processes,
            double durationS,
            Map<String, Integer> faults,
            int acknowledged,
            int done,
            int failed,
            List<String> violations) {
        /** Formats the result as text for the console. */
        public String table() {
            StringBuilder all = new StringBuilder(String.format(
                    "%d processes, seed %d, %.0f s: %d faults %s, %d orders "
                            + "acknowledged, %d done, %d given up as may-have-run%n",
                    processes,
                    seed,
                    durationS,
                    faults.values().stream().mapToInt(Integer::intValue).sum(),
                    faults,
                    acknowledged,
                    done,
                    failed));
            violations.forEach(b -> all.append("BROKEN ").append(b).append('\n'));
            return all.append(violations.isEmpty() ? "no rule broken\n" : "").toString();
        }
    }

    private record PendingOrder(String key, double atMs) {}

    private final FleetLab lab;
    private final Random random;
    private final long seed;
    private final PrintStream out;
    private final FleetPlayer player;
    private final Map<String, Integer> faults = new TreeMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final StringBuilder schedule = new StringBuilder();
    private volatile boolean stopped;

    /** Prepares a run on a fleet that covers orders and has not been started yet. */
    public OrderFaultRun(FleetLab lab, long seed, PrintStream out) {
        this.lab = lab;
        this.seed = seed;
        this.random = new Random(seed);
        this.out = out;
        player = new FleetPlayer(lab);
    }

    /** Injects {@code faultCount} faults, or as many as {@code maxDurationS} allows; then waits for every answer. */
    public Result run(int faultCount, double maxDurationS) throws IOException, InterruptedException {
        List<LabWorkers> workers = new ArrayList<>();
        for (SchedulerProcess process : lab.processes()) {
            process.start();
        }
        for (SchedulerProcess process : lab.processes()) {
            if (lab.history()
                            .await(
                                    0,
                                    TIMEOUT_MS,
                                    step -> step.source().equals(process.name())
                                            && step.text().contains("takes part"))
                    == null) {
                lab.history().add(process.name(), "stuck", "it does not take part");
            }
            workers.add(new LabWorkers(process, lab.history(), 3, 20, FUNCTION));
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Thread thread = new Thread(() -> runClient(n, new Random(seed * 31 + n)), "client " + i);
            clients.add(thread);
            thread.start();
        }
        for (int n = 0; n < faultCount && lab.history().nowMs() < maxDurationS * 1000; n++) {
            String fault = drawFault(
                    lab.processes().get(random.nextInt(lab.processes().size())).name());
            schedule.append(fault);
            for (Script.Step step : Script.parse("fault " + n, fault).steps()) {
                player.play(step);
            }
            if ((n + 1) % 20 == 0) {
                out.printf("%d faults after %.0f s%n", n + 1, lab.history().nowMs() / 1000);
            }
        }
        stopped = true;
        for (Thread thread : clients) {
            thread.join();
        }
        workers.forEach(LabWorkers::close);
        lab.history().ofKind("stuck").forEach(step -> violations.add(step.source() + ": " + step.text()));
        return checkHistory();
    }

    /** Returns the faults drawn so far as a script of the scenario language. */
    public String schedule() {
        return schedule.toString();
    }

    private String drawFault(String process) {
        List<String> kinds = List.of("kill", "stop", "cut sends hears", "cut sends", "cut hears", "term");
        String kind = kinds.get(random.nextInt(kinds.size()));
        faults.merge(kind, 1, Integer::sum);
        String text = "wait " + (random.nextInt(10) / 10.0) + "\n" + process + " send " + kind + "\n";
        if (kind.equals("kill") || kind.equals("term")) {
            return text + process + " expect ended\n" + process + " send start\n" + process + EXPECT_REJOINED;
        }
        // Shorter than a lease, longer than a lease, and two lengths that exceed the time after which a session counts
        // as lost; only those two make the process begin a new session.
        int tenths = List.of(5, 12, 25, 40).get(random.nextInt(4));
        text += "wait " + tenths / 10.0 + "\n" + process + " send " + (kind.equals("stop") ? "cont" : "heal") + "\n";
        return text + (tenths > 20 ? process + EXPECT_REJOINED : "wait 1\n");
    }

    private void runClient(int n, Random clientRandom) {
        ArrayDeque<PendingOrder> pending = new ArrayDeque<>();
        for (int i = 0; !stopped || !pending.isEmpty(); i++) {
            if (!stopped) {
                String key = "c" + n + "-" + i;
                if (clientRandom.nextInt(4) == 0) {
                    recordAnswer(key, awaitAnswer(key, clientRandom));
                } else if (submitUntilAcknowledged(key, clientRandom)) {
                    pending.add(new PendingOrder(key, lab.history().nowMs()));
                }
            }
            if (!pending.isEmpty() && (stopped || lab.history().nowMs() - pending.peek().atMs > ASK_AGAIN_AFTER_MS)) {
                String key = pending.poll().key;
                recordAnswer(key, awaitAnswer(key, clientRandom));
            }
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private SchedulerProcess randomProcess(Random clientRandom) {
        return lab.processes().get(clientRandom.nextInt(lab.processes().size()));
    }

    /** Submits a background order at random processes until one acknowledges it; false if none did. */
    private boolean submitUntilAcknowledged(String key, Random clientRandom) {
        for (int tries = 0; tries < 200 && !stopped; tries++) {
            if (LabWorkers.submitBackground(randomProcess(clientRandom), lab.history(), FUNCTION, key) != null) {
                return true;
            }
            pause();
        }
        return false;
    }

    /** Asks random processes for the final answer under a key until there is one; null if none came in time. */
    private String awaitAnswer(String key, Random clientRandom) {
        for (double until = lab.history().nowMs() + 2 * TIMEOUT_MS;
                lab.history().nowMs() < until; ) {
            String answer = LabWorkers.submitAndWait(
                    randomProcess(clientRandom), lab.history(), FUNCTION, key, ANSWER_TIMEOUT_MS);
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

    private synchronized void recordAnswer(String key, String answer) {
        if (answer == null) {
            violations.add("the order " + key + " has no answer after " + 2 * TIMEOUT_MS / 1000 + " s");
        }
        answers.put(key, answer);
    }

    private static String orderKey(History.Event event) {
        return event.text().substring(0, event.text().indexOf(' '));
    }

    private synchronized Result checkHistory() {
        Map<String, Integer> runs = new HashMap<>();
        lab.history().ofKind("run").forEach(event -> runs.merge(event.text(), 1, Integer::sum));
        runs.forEach((key, n) -> {
            if (n > 1) {
                violations.add("the order " + key + " ran " + n + " times");
            }
        });
        // An order that was acknowledged and then forgotten would become a new order when its client submits it again,
        // so
        // each order must keep one handle.
        Map<String, Set<String>> handles = new HashMap<>();
        lab.history()
                .ofKind("taken")
                .forEach(event -> handles.computeIfAbsent(orderKey(event), k -> new TreeSet<>())
                        .add(event.text()));
        lab.history().ofKind("joined").stream()
                .filter(event -> handles.containsKey(orderKey(event)))
                .forEach(event -> handles.get(orderKey(event)).add(event.text()));
        handles.forEach((key, all) -> {
            if (all.size() > 1) {
                violations.add("the order " + key + " was acknowledged and then forgotten: " + all);
            }
        });
        answers.forEach((key, answer) -> {
            if ("WORK_COMPLETE".equals(answer) && !runs.containsKey(key)) {
                violations.add("the order " + key + " is answered as done and never ran");
            }
        });
        int done =
                (int) answers.values().stream().filter("WORK_COMPLETE"::equals).count();
        int failed = (int) answers.values().stream().filter("WORK_FAIL"::equals).count();
        return new Result(
                seed,
                lab.processes().size(),
                lab.history().nowMs() / 1000,
                faults,
                answers.size(),
                done,
                failed,
                List.copyOf(violations));
    }
}
