package plumpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.Phase;

/** Plays seeded random, odd but legal orders of events and checks the four rules on every action. */
class RulesTest {

    private static final class Sent {
        String worker;
        double at;
        Ending ending;
    }

    private static final class Taken {
        Dispatcher.JobClass cls;
        double deadline;
        boolean over;
        final List<Sent> attempts = new ArrayList<>();
    }

    /** The host's side: checks each action against what the instance has been told. */
    private static final class Host extends RecordingActions {
        final TestSettings bench;
        final Map<String, Taken> taken = new HashMap<>();
        final Map<String, Dispatcher.WorkerEntry> listed = new HashMap<>();
        final Map<String, Double> coldWork = new HashMap<>();
        final Map<String, Double> costs = new HashMap<>();
        double now;
        int finals;

        Host(TestSettings bench) {
            this.bench = bench;
        }

        @Override
        public void assign(String job, String worker, double timeoutMs) {
            Taken t = taken.get(job);
            assertTrue(!t.over, "sent after the end");
            Dispatcher.WorkerEntry w = listed.get(worker);
            assertTrue(w != null && w.phase() == Phase.SERVING, "sent to a drained worker");
            assertTrue(t.attempts.size() < bench.maxAttempts, "too many attempts");
            for (Sent s : t.attempts) {
                assertTrue(s.ending != null || bench.parallel, "two attempts at once");
            }
            Sent first = t.attempts.stream()
                    .filter(s -> s.ending == null || !s.ending.neverRan())
                    .findFirst()
                    .orElse(null);
            if (first != null && t.cls.effect() != Dispatcher.Effect.FREE) {
                assertEquals(Dispatcher.Effect.GUARDED, t.cls.effect(), "a single shot twice");
                assertTrue(now < first.at + t.cls.windowMs(), "after the window");
                Dispatcher.WorkerEntry f = allSeen.get(first.worker);
                assertTrue(
                        t.cls.scope() == Dispatcher.Scope.ALL
                                || t.cls.scope() == Dispatcher.Scope.ZONE && f.zone() == w.zone()
                                || t.cls.scope() == Dispatcher.Scope.CELL && f.cell() == w.cell(),
                        "outside the group");
            }
            if (w.cameUpMs() > 0 && now - w.cameUpMs() < 2000) {
                coldWork.merge(worker + w.cameUpMs(), costs.get(job), Double::sum);
            }
            Sent s = new Sent();
            s.worker = worker;
            s.at = now;
            t.attempts.add(s);
        }

        final Map<String, Dispatcher.WorkerEntry> allSeen = new HashMap<>();

        @Override
        public void refuse(String job, double retryAfterMs) {
            Taken t = taken.get(job);
            boolean mayHaveRun = t.attempts.stream().anyMatch(s -> s.ending == null || !s.ending.neverRan());
            assertTrue(
                    !mayHaveRun
                            || t.cls.effect() == Dispatcher.Effect.FREE
                            || t.cls.effect() == Dispatcher.Effect.GUARDED && t.cls.scope() == Dispatcher.Scope.ALL,
                    "refused");
            end(job);
        }

        @Override
        public void fail(String job) {
            end(job);
        }

        private void end(String job) {
            Taken t = taken.get(job);
            assertTrue(!t.over, "two final answers");
            assertTrue(now <= t.deadline + 8, "answered late");
            t.over = true;
            finals++;
        }

        @Override
        public void cancel(String job, int attempt) {
            assertTrue(attempt < taken.get(job).attempts.size(), "cancelled what was never sent");
        }
    }

    private void play(long seed) {
        Random random = new Random(seed);
        TestSettings bench = new TestSettings();
        bench.parallel = random.nextBoolean();
        bench.onRequest = random.nextBoolean();
        bench.tellsStart = random.nextInt(4) > 0;
        bench.peers = random.nextBoolean();
        bench.balancers = 1 + random.nextInt(50);
        bench.reports = Dispatcher.Reports.values()[random.nextInt(3)];
        Host host = new Host(bench);
        Logic logic = new Logic(bench.settings(), seed, host);
        logic.workers(0, Dispatcher.ListMode.SAVED, List.of());
        double clock = 1;
        for (int step = 0; step < 400; step++) {
            clock += random.nextInt(5) == 0 ? random.nextInt(1500) : random.nextInt(10);
            // every timer that is due comes before later events, within the shortest gap between batches
            while (true) {
                double due = host.timers.stream().mapToDouble(d -> d).min().orElse(1e12);
                if (due > clock) {
                    break;
                }
                host.timers.remove(due);
                host.now = Math.max(host.now, due);
                logic.timer(host.now, 0);
                expire(host, logic);
            }
            host.now = clock;
            expire(host, logic);
            act(random, host, logic, step);
        }
        // let time run out: everything taken gets its answer
        for (int i = 0; i < 20_000 && !host.timers.isEmpty(); i++) {
            double due = host.timers.stream().mapToDouble(d -> d).min().orElseThrow();
            if (due > clock + 40_000) {
                break;
            }
            host.timers.remove(due);
            host.now = Math.max(host.now, due);
            logic.timer(host.now, 0);
        }
        host.taken.forEach((id, t) -> assertTrue(t.over, id + " got no final answer, seed " + seed));
        host.coldWork.forEach((w, work) -> assertTrue(
                work <= Math.max(120, 3 * 0.36 * 2 * 2 * 2000.0 / bench.balancers), w + " was sent " + work));
    }

    /** Attempts out at the client's end time out, as on the wire. */
    private void expire(Host host, Logic logic) {
        for (Map.Entry<String, Taken> e : host.taken.entrySet()) {
            Taken t = e.getValue();
            if (host.now >= t.deadline) {
                for (int i = 0; i < t.attempts.size(); i++) {
                    Sent s = t.attempts.get(i);
                    if (s.ending == null) {
                        s.ending = Ending.TIMEOUT;
                        logic.ended(
                                host.now,
                                new Dispatcher.Outcome(e.getKey(), i, s.worker, Ending.TIMEOUT, 1, t.over, null));
                    }
                }
            }
        }
    }

    private void act(Random random, Host host, Logic logic, int step) {
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                String id = "job" + step;
                Taken t = new Taken();
                int cls = random.nextInt(host.bench.classes.size());
                t.cls = host.bench.classes.get(cls);
                double patience = 20 + random.nextInt(5000);
                t.deadline = host.now + patience;
                double cost = random.nextInt(5) == 0 ? Double.NaN : 1 + random.nextInt(100);
                host.taken.put(id, t);
                host.costs.put(id, Double.isNaN(cost) ? 50 : cost);
                logic.arrived(
                        host.now,
                        new Dispatcher.Job(
                                id,
                                cls,
                                0,
                                null,
                                patience,
                                cost,
                                1 + random.nextInt(3),
                                Double.NaN,
                                random.nextBoolean()));
            }
            case 2 -> {
                List<Dispatcher.WorkerEntry> lines = new ArrayList<>();
                boolean full = random.nextBoolean();
                if (full) {
                    host.listed.clear();
                }
                for (int i = random.nextInt(4); i >= 0; i--) {
                    String id = "w" + random.nextInt(6);
                    Dispatcher.WorkerEntry old = host.allSeen.get(id);
                    Phase phase = random.nextInt(4) == 0 ? Phase.values()[1 + random.nextInt(2)] : Phase.SERVING;
                    double up = old == null
                            ? random.nextBoolean() ? host.now : 0
                            : random.nextInt(6) == 0 ? host.now : old.cameUpMs();
                    Dispatcher.WorkerEntry e = new Dispatcher.WorkerEntry(
                            id, id.hashCode() % 2, id.hashCode() % 2, id.hashCode() % 3, phase, 1, up);
                    lines.removeIf(l -> l.id().equals(id));
                    lines.add(e);
                    host.allSeen.put(id, e);
                    host.listed.put(id, e);
                }
                logic.workers(host.now, full ? Dispatcher.ListMode.FULL : Dispatcher.ListMode.INCREMENTAL, lines);
            }
            case 3 -> {
                if (host.bench.onRequest) {
                    logic.workers(host.now, Dispatcher.ListMode.FAILED, List.of());
                }
                logic.peerMessage(host.now, 1, new byte[random.nextInt(40)]);
            }
            case 4 ->
                logic.probed(
                        host.now,
                        "w" + random.nextInt(8),
                        Ending.values()[random.nextInt(6)],
                        1,
                        random.nextBoolean()
                                ? null
                                : new Dispatcher.LoadReport(
                                        random.nextInt(9), Double.NaN, 30, 0, random.nextInt(4), Double.NaN));
            case 5 ->
                outs(random, host).ifPresent(id -> {
                    Taken t = host.taken.get(id);
                    int i = t.attempts.size() - 1;
                    logic.started(host.now, id, i, t.attempts.get(i).worker);
                    if (random.nextBoolean()) {
                        logic.progressed(host.now, id, i, t.attempts.get(i).worker, 0.5);
                    }
                });
            case 6 ->
                outs(random, host).ifPresent(id -> {
                    Taken t = host.taken.get(id);
                    int i = random.nextInt(t.attempts.size());
                    Sent s = t.attempts.get(i);
                    if (s.ending == null) {
                        s.ending = Ending.values()[random.nextInt(Ending.values().length)];
                        boolean ok = s.ending == Ending.OK && !t.over;
                        t.over |= ok;
                        logic.ended(host.now, new Dispatcher.Outcome(id, i, s.worker, s.ending, 1, t.over, null));
                        if (ok && random.nextInt(4) == 0) {
                            logic.clientGone(host.now, id);
                        }
                    }
                });
            default -> {
                logic.started(host.now, "nobody", 0, "nothing");
                logic.ended(host.now, TestSettings.outcome("nobody", 3, "nothing", Ending.OK));
                logic.clientGone(host.now, "nobody");
                logic.progressed(host.now, "nobody", 0, "nothing", 1);
            }
        }
    }

    private java.util.Optional<String> outs(Random random, Host host) {
        List<String> open = host.taken.entrySet().stream()
                .filter(e -> e.getValue().attempts.stream().anyMatch(s -> s.ending == null))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        return open.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(open.get(random.nextInt(open.size())));
    }

    @Test
    void theRulesHoldInOddOrders() {
        for (long seed = 0; seed < 400; seed++) {
            play(seed);
        }
    }
}
