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

/** Plays seeded random orders of events that a host may send and checks the four rules on every action. */
class RulesTest {

    /** An attempt that the instance started; {@code ending} is null while it is open. */
    private static final class TrackedAttempt {
        String worker;
        double sentAt;
        Ending ending;
    }

    /** A job given to the instance. */
    private static final class TrackedJob {
        Dispatcher.JobClass jobClass;
        double deadline;
        boolean answered;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    /** A host that checks each action against the events that it has sent. */
    private static final class CheckingHost extends RecordingActions {
        final TestSettings settings;
        final Map<String, TrackedJob> jobs = new HashMap<>();
        final Map<String, Dispatcher.WorkerEntry> listedWorkers = new HashMap<>();
        final Map<String, Double> coldWork = new HashMap<>();
        final Map<String, Double> costs = new HashMap<>();
        double now;
        int finalAnswers;

        CheckingHost(TestSettings settings) {
            this.settings = settings;
        }

        @Override
        public void assign(String job, String worker, double timeoutMs) {
            TrackedJob tracked = jobs.get(job);
            assertTrue(!tracked.answered, "assigned after the final answer");
            Dispatcher.WorkerEntry entry = listedWorkers.get(worker);
            assertTrue(entry != null && entry.phase() == Phase.SERVING, "assigned to a worker that does not serve");
            assertTrue(tracked.attempts.size() < settings.maxAttempts, "too many attempts");
            for (TrackedAttempt attempt : tracked.attempts) {
                assertTrue(attempt.ending != null || settings.parallelAttempts, "two open attempts of one job");
            }
            TrackedAttempt first = tracked.attempts.stream()
                    .filter(attempt -> attempt.ending == null || !attempt.ending.neverRan())
                    .findFirst()
                    .orElse(null);
            if (first != null && tracked.jobClass.effect() != Dispatcher.Effect.FREE) {
                assertEquals(
                        Dispatcher.Effect.GUARDED, tracked.jobClass.effect(), "a single-shot job may have run twice");
                assertTrue(now < first.sentAt + tracked.jobClass.windowMs(), "repeated after the window");
                Dispatcher.WorkerEntry firstWorker = knownWorkers.get(first.worker);
                assertTrue(
                        tracked.jobClass.scope() == Dispatcher.Scope.ALL
                                || tracked.jobClass.scope() == Dispatcher.Scope.ZONE
                                        && firstWorker.zone() == entry.zone()
                                || tracked.jobClass.scope() == Dispatcher.Scope.CELL
                                        && firstWorker.cell() == entry.cell(),
                        "repeated outside the group");
            }
            if (entry.cameUpMs() > 0 && now - entry.cameUpMs() < 2000) {
                coldWork.merge(worker + entry.cameUpMs(), costs.get(job), Double::sum);
            }
            TrackedAttempt attempt = new TrackedAttempt();
            attempt.worker = worker;
            attempt.sentAt = now;
            tracked.attempts.add(attempt);
        }

        final Map<String, Dispatcher.WorkerEntry> knownWorkers = new HashMap<>();

        @Override
        public void refuse(String job, double retryAfterMs) {
            TrackedJob tracked = jobs.get(job);
            boolean mayHaveRun =
                    tracked.attempts.stream().anyMatch(attempt -> attempt.ending == null || !attempt.ending.neverRan());
            assertTrue(
                    !mayHaveRun
                            || tracked.jobClass.effect() == Dispatcher.Effect.FREE
                            || tracked.jobClass.effect() == Dispatcher.Effect.GUARDED
                                    && tracked.jobClass.scope() == Dispatcher.Scope.ALL,
                    "refused although it may have run");
            recordFinalAnswer(job);
        }

        @Override
        public void fail(String job) {
            recordFinalAnswer(job);
        }

        private void recordFinalAnswer(String job) {
            TrackedJob tracked = jobs.get(job);
            assertTrue(!tracked.answered, "two final answers");
            assertTrue(now <= tracked.deadline + 8, "answered after the deadline");
            tracked.answered = true;
            finalAnswers++;
        }

        @Override
        public void cancel(String job, int attempt) {
            assertTrue(attempt < jobs.get(job).attempts.size(), "cancelled an attempt that was never started");
        }
    }

    /** Plays 400 random steps with random settings, then checks the answers and the work sent to cold workers. */
    private void playRandomEvents(long seed) {
        Random random = new Random(seed);
        TestSettings settings = new TestSettings();
        settings.parallelAttempts = random.nextBoolean();
        settings.listOnRequest = random.nextBoolean();
        settings.tellsStart = random.nextInt(4) > 0;
        settings.peers = random.nextBoolean();
        settings.balancers = 1 + random.nextInt(50);
        settings.reports = Dispatcher.Reports.values()[random.nextInt(3)];
        CheckingHost host = new CheckingHost(settings);
        Logic logic = new Logic(settings.settings(), seed, host);
        logic.onWorkerList(0, Dispatcher.ListMode.SAVED, List.of());
        double clock = 1;
        for (int step = 0; step < 400; step++) {
            clock += random.nextInt(5) == 0 ? random.nextInt(1500) : random.nextInt(10);
            // Due timers are delivered before later events, within the simulator's shortest gap between batches.
            while (true) {
                double dueAt = host.timers.stream().mapToDouble(d -> d).min().orElse(1e12);
                if (dueAt > clock) {
                    break;
                }
                host.timers.remove(dueAt);
                host.now = Math.max(host.now, dueAt);
                logic.onTimer(host.now, 0);
                timeOutAttempts(host, logic);
            }
            host.now = clock;
            timeOutAttempts(host, logic);
            playRandomEvent(random, host, logic, step);
        }
        // Deliver the remaining timers: every job must get its final answer.
        for (int i = 0; i < 20_000 && !host.timers.isEmpty(); i++) {
            double dueAt = host.timers.stream().mapToDouble(d -> d).min().orElseThrow();
            if (dueAt > clock + 40_000) {
                break;
            }
            host.timers.remove(dueAt);
            host.now = Math.max(host.now, dueAt);
            logic.onTimer(host.now, 0);
        }
        host.jobs.forEach((id, tracked) -> assertTrue(tracked.answered, id + " got no final answer, seed " + seed));
        host.coldWork.forEach((worker, work) -> assertTrue(
                work <= Math.max(120, 3 * 0.36 * 2 * 2 * 2000.0 / settings.balancers), worker + " was sent " + work));
    }

    /** Ends attempts that are open at the client's deadline with a timeout, as the simulator does. */
    private void timeOutAttempts(CheckingHost host, Logic logic) {
        for (Map.Entry<String, TrackedJob> entry : host.jobs.entrySet()) {
            TrackedJob tracked = entry.getValue();
            if (host.now >= tracked.deadline) {
                for (int i = 0; i < tracked.attempts.size(); i++) {
                    TrackedAttempt attempt = tracked.attempts.get(i);
                    if (attempt.ending == null) {
                        attempt.ending = Ending.TIMEOUT;
                        logic.onAttemptEnded(
                                host.now,
                                new Dispatcher.Outcome(
                                        entry.getKey(), i, attempt.worker, Ending.TIMEOUT, 1, tracked.answered, null));
                    }
                }
            }
        }
    }

    private void playRandomEvent(Random random, CheckingHost host, Logic logic, int step) {
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                String id = "job" + step;
                TrackedJob tracked = new TrackedJob();
                int classIndex = random.nextInt(host.settings.classes.size());
                tracked.jobClass = host.settings.classes.get(classIndex);
                double patience = 20 + random.nextInt(5000);
                tracked.deadline = host.now + patience;
                double cost = random.nextInt(5) == 0 ? Double.NaN : 1 + random.nextInt(100);
                host.jobs.put(id, tracked);
                host.costs.put(id, Double.isNaN(cost) ? 50 : cost);
                logic.onJobArrived(
                        host.now,
                        new Dispatcher.Job(
                                id,
                                classIndex,
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
                    host.listedWorkers.clear();
                }
                for (int i = random.nextInt(4); i >= 0; i--) {
                    String id = "w" + random.nextInt(6);
                    Dispatcher.WorkerEntry old = host.knownWorkers.get(id);
                    Phase phase = random.nextInt(4) == 0 ? Phase.values()[1 + random.nextInt(2)] : Phase.SERVING;
                    double cameUpMs = old == null
                            ? random.nextBoolean() ? host.now : 0
                            : random.nextInt(6) == 0 ? host.now : old.cameUpMs();
                    Dispatcher.WorkerEntry entry = new Dispatcher.WorkerEntry(
                            id, id.hashCode() % 2, id.hashCode() % 2, id.hashCode() % 3, phase, 1, cameUpMs);
                    lines.removeIf(l -> l.id().equals(id));
                    lines.add(entry);
                    host.knownWorkers.put(id, entry);
                    host.listedWorkers.put(id, entry);
                }
                logic.onWorkerList(host.now, full ? Dispatcher.ListMode.FULL : Dispatcher.ListMode.INCREMENTAL, lines);
            }
            case 3 -> {
                if (host.settings.listOnRequest) {
                    logic.onWorkerList(host.now, Dispatcher.ListMode.FAILED, List.of());
                }
                logic.onPeerMessage(host.now, 1, new byte[random.nextInt(40)]);
            }
            case 4 ->
                logic.onProbeResult(
                        host.now,
                        "w" + random.nextInt(8),
                        Ending.values()[random.nextInt(6)],
                        1,
                        random.nextBoolean()
                                ? null
                                : new Dispatcher.LoadReport(
                                        random.nextInt(9), Double.NaN, 30, 0, random.nextInt(4), Double.NaN));
            case 5 ->
                randomJobWithOpenAttempt(random, host).ifPresent(id -> {
                    TrackedJob tracked = host.jobs.get(id);
                    int attemptIndex = tracked.attempts.size() - 1;
                    logic.onAttemptStarted(host.now, id, attemptIndex, tracked.attempts.get(attemptIndex).worker);
                    if (random.nextBoolean()) {
                        logic.onAttemptProgress(
                                host.now, id, attemptIndex, tracked.attempts.get(attemptIndex).worker, 0.5);
                    }
                });
            case 6 ->
                randomJobWithOpenAttempt(random, host).ifPresent(id -> {
                    TrackedJob tracked = host.jobs.get(id);
                    int attemptIndex = random.nextInt(tracked.attempts.size());
                    TrackedAttempt attempt = tracked.attempts.get(attemptIndex);
                    if (attempt.ending == null) {
                        attempt.ending = Ending.values()[random.nextInt(Ending.values().length)];
                        boolean ok = attempt.ending == Ending.OK && !tracked.answered;
                        tracked.answered |= ok;
                        logic.onAttemptEnded(
                                host.now,
                                new Dispatcher.Outcome(
                                        id, attemptIndex, attempt.worker, attempt.ending, 1, tracked.answered, null));
                        if (ok && random.nextInt(4) == 0) {
                            logic.onClientGone(host.now, id);
                        }
                    }
                });
            default -> {
                logic.onAttemptStarted(host.now, "nobody", 0, "nothing");
                logic.onAttemptEnded(host.now, TestSettings.outcome("nobody", 3, "nothing", Ending.OK));
                logic.onClientGone(host.now, "nobody");
                logic.onAttemptProgress(host.now, "nobody", 0, "nothing", 1);
            }
        }
    }

    private java.util.Optional<String> randomJobWithOpenAttempt(Random random, CheckingHost host) {
        List<String> open = host.jobs.entrySet().stream()
                .filter(entry -> entry.getValue().attempts.stream().anyMatch(attempt -> attempt.ending == null))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        return open.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(open.get(random.nextInt(open.size())));
    }

    @Test
    void rulesHoldForRandomOrdersOfEvents() {
        for (long seed = 0; seed < 400; seed++) {
            playRandomEvents(seed);
        }
    }
}
