package plumpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static plumpost.decision.TestSettings.job;
import static plumpost.decision.TestSettings.outcome;
import static plumpost.decision.TestSettings.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;

/** One small test for each failure found and each part of the ordinary path. */
class LogicTest {
    private final TestSettings bench = new TestSettings();
    private final RecordingActions out = new RecordingActions();
    private Logic logic;

    private Logic start(Dispatcher.WorkerEntry... workers) {
        logic = new Logic(bench.settings(), 7, out);
        logic.workers(0, ListMode.SAVED, List.of(workers));
        return logic;
    }

    /** Fills a worker with two started jobs, so that its count is at theta. */
    private void fillOne() {
        start(worker("w", Phase.SERVING));
        for (String id : List.of("a", "b")) {
            logic.arrived(1, job(id, 0, 1000));
        }
        assertEquals(2, out.takeStartingWith("assign").size());
    }

    @Test
    void jobsAreHeldAtTheBarAndLeaveSmallestFirst() {
        fillOne();
        logic.arrived(2, job("big", 0, 900));
        logic.arrived(2, job("small", 0, 100));
        assertTrue(out.takeStartingWith("assign").isEmpty(), "the count is at the bar");
        logic.started(3, "a", 0, "w");
        logic.started(3, "b", 0, "w");
        out.lines.clear();
        logic.ended(4, outcome("a", 0, "w", Ending.OK));
        assertEquals("assign small w", out.takeStartingWith("assign").get(0));
    }

    @Test
    void agingLetsAnOldLargeJobPassAFreshSmallOne() {
        bench.classes.set(
                0,
                new Dispatcher.JobClass(
                        "free", 400, 9, 9000, Dispatcher.Effect.FREE, Dispatcher.Scope.ALL, 2000, 1, 0, -1, 0));
        fillOne();
        logic.started(2, "a", 0, "w");
        logic.started(2, "b", 0, "w");
        logic.arrived(3, job("old", 0, 800));
        out.lines.clear();
        logic.arrived(3 + 350, job("new", 0, 100));
        logic.ended(3 + 351, outcome("a", 0, "w", Ending.OK));
        assertEquals(
                "assign old w", out.takeStartingWith("assign").get(0), "800 halved more than three times is below 100");
    }

    @Test
    void aJobWithoutHintTakesTheMedianOfRecentHints() {
        fillOne();
        logic.arrived(2, job("nohint", 0, Double.NaN));
        logic.arrived(2, job("large", 0, 1500));
        logic.arrived(2, job("small", 0, 700));
        logic.started(3, "a", 0, "w");
        logic.started(3, "b", 0, "w");
        logic.ended(4, outcome("a", 0, "w", Ending.OK));
        logic.ended(4, outcome("b", 0, "w", Ending.OK));
        List<String> sent = out.takeStartingWith("assign");
        assertEquals(List.of("assign small w", "assign nohint w"), sent.subList(0, 2));
    }

    @Test
    void nothingNewGoesToADrainingOrUnlistedWorker() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        logic.workers(1, ListMode.INCREMENTAL, List.of(worker("w", Phase.DRAINING)));
        logic.workers(1, ListMode.FULL, List.of(worker("w", Phase.DRAINING)));
        logic.arrived(2, job("a", 0, 100));
        assertTrue(out.takeStartingWith("assign").isEmpty());
        logic.workers(3, ListMode.INCREMENTAL, List.of(worker("y", Phase.SERVING)));
        assertEquals(List.of("assign a y"), out.takeStartingWith("assign"));
    }

    @Test
    void aSingleShotJobThatMayHaveRunIsFailedAndOneThatNeverRanGoesOn() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        logic.arrived(1, job("a", 1, 100));
        String first = out.takeStartingWith("assign").get(0).substring("assign a ".length());
        logic.ended(2, outcome("a", 0, first, Ending.FULL));
        String second = out.takeStartingWith("assign").get(0).substring("assign a ".length());
        logic.ended(3, outcome("a", 1, second, Ending.RESET));
        assertEquals(List.of("fail a"), out.lines);
    }

    /** Guards healthy workers that refuse one connection in ten: one at once costs nothing, two in a row eject. */
    @Test
    void aConnectionRefusedAtOnceEjectsOnlyTheSecondTime() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING), worker("y", Phase.SERVING));
        logic.workers(1, ListMode.INCREMENTAL, List.of(worker("x", Phase.DRAINING), worker("y", Phase.DRAINING)));
        logic.arrived(1, job("a", 1, 1000));
        out.lines.clear();
        logic.ended(2, outcome("a", 0, "w", Ending.CONNECT_FAILED));
        assertEquals(List.of("assign a w"), out.takeStartingWith("assign"));
        logic.workers(2, ListMode.INCREMENTAL, List.of(worker("x", Phase.SERVING), worker("y", Phase.SERVING)));
        logic.ended(3, outcome("a", 1, "w", Ending.CONNECT_FAILED));
        assertTrue(out.takeStartingWith("assign").stream().noneMatch(l -> l.endsWith(" w")));
    }

    @Test
    void aGuardedJobStaysInItsGroupAndWindow() {
        start(worker("w", 0, 1, 0), worker("x", 1, 2, 0));
        logic.arrived(1, job("a", 2, 100));
        String first = out.takeStartingWith("assign").get(0).substring("assign a ".length());
        logic.ended(2, outcome("a", 0, first, Ending.RESET));
        List<String> again = out.takeStartingWith("assign");
        assertTrue(again.isEmpty() || again.get(0).endsWith(first), "the other zone is another group");
        logic.arrived(10, job("b", 4, 100));
        String worker = out.takeStartingWith("assign b").get(0).substring("assign b ".length());
        logic.ended(10 + 2001, outcome("b", 0, worker, Ending.ERROR));
        assertFalse(out.lines.stream().anyMatch(l -> l.startsWith("assign b")), "its window is over");
        assertTrue(out.lines.contains("fail b"));
    }

    @Test
    void aHeldJobIsAnsweredBeforeTheClientIsGoneEvenIfTheTimerComesAHairEarly() {
        start();
        logic.arrived(0.0004, job("a", 0, 100));
        double clock = 0;
        for (int bells = 0; bells < 1000 && clock < 5000 && !out.lines.contains("fail a"); bells++) {
            clock = out.timers.stream()
                    .mapToDouble(d -> d)
                    .filter(d -> d > 0)
                    .min()
                    .orElse(1e9);
            out.timers.removeIf(
                    d -> d <= out.timers.stream().mapToDouble(x -> x).min().orElse(0));
            logic.timer(Math.floor(clock * 1000) / 1000, 0);
        }
        assertTrue(out.lines.contains("fail a"), "a stalled timer loses the job");
    }

    @Test
    void aFreeJobThatDoesNotStartIsRecalledAndGoesElsewhere() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        logic.arrived(1, job("a", 0, 100));
        String first = out.takeStartingWith("assign").get(0).substring("assign a ".length());
        logic.timer(200, 0);
        assertEquals(List.of("cancel a 0"), out.takeStartingWith("cancel"));
        logic.ended(201, outcome("a", 0, first, Ending.CANCELLED));
        assertFalse(out.takeStartingWith("assign").get(0).endsWith(first));
        logic.arrived(300, job("b", 1, 100));
        out.lines.clear();
        logic.timer(600, 0);
        assertTrue(out.takeStartingWith("cancel b").isEmpty(), "a single-shot job may have run and is never recalled");
    }

    @Test
    void aColdWorkerGetsNoMoreThanThisDispatchersPartOfItsBudget() {
        bench.balancers = 10;
        start(worker("cold", 0, 0, 1));
        double sent = 0;
        for (int t = 1; t < 2000; t += 10) {
            String id = "j" + t;
            logic.arrived(t, job(id, 0, 20));
            if (!out.takeStartingWith("assign " + id).isEmpty()) {
                sent += 20;
                logic.ended(t, outcome(id, 0, "cold", Ending.OK));
            }
        }
        // three times a fifth of two slots for two seconds, over ten dispatchers, a little warmer at the end
        assertTrue(sent <= 3 * 0.36 * 2 * 2000 / 10, "sent " + sent);
    }

    @Test
    void coldWorkersAreNotMetByAllDispatchersAtOnce() {
        bench.balancers = 100;
        int met = 0;
        for (int seed = 0; seed < 100; seed++) {
            RecordingActions one = new RecordingActions();
            Logic each = new Logic(bench.settings(), seed, one);
            each.workers(0, ListMode.SAVED, List.of(worker("cold", 0, 0, 1)));
            each.arrived(1, job("a", 0, 400));
            met += one.takeStartingWith("assign").size();
        }
        assertTrue(met < 10, met + " of 100 went at once");
    }

    /** Guards drains told while the list service is away: they count as told 6 s later, heard or not. */
    @Test
    void howeverOftenTheListFailsItIsAskedForSoon() {
        start(worker("w", Phase.SERVING));
        for (double at = 1; at < 40_000; at += 4000) {
            logic.workers(at, ListMode.FAILED, List.of());
            logic.timer(at + 3751, 0);
            assertEquals(1, out.takeStartingWith("subscribe").size(), "failed at " + at);
        }
    }

    /** Guards changes told line by line: they lead to the same workers as the whole list told anew each time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void changesLeadToTheSameWorkersAsWholeLists(long seed) {
        RecordingActions[] recorders = {new RecordingActions(), new RecordingActions()};
        Logic byChanges = new Logic(bench.settings(), 9, recorders[0]);
        Logic byWholeLists = new Logic(bench.settings(), 9, recorders[1]);
        Map<String, Dispatcher.WorkerEntry> list = new LinkedHashMap<>();
        Random random = new Random(seed);
        byChanges.workers(0, ListMode.FULL, List.of());
        byWholeLists.workers(0, ListMode.FULL, List.of());
        for (int step = 1; step < 600; step++) {
            double at = step * 20;
            String id = "w" + random.nextInt(12);
            Phase phase = Phase.values()[random.nextInt(Phase.values().length)];
            if (phase == Phase.DELETED && !list.containsKey(id)) {
                continue;
            }
            Dispatcher.WorkerEntry entry = TestSettings.worker(id, phase);
            if (phase == Phase.DELETED) {
                list.remove(id);
            } else {
                list.put(id, entry);
            }
            byChanges.workers(at, ListMode.INCREMENTAL, List.of(entry));
            byWholeLists.workers(at, ListMode.FULL, List.copyOf(list.values()));
            for (Logic each : List.of(byChanges, byWholeLists)) {
                each.arrived(at + 1, TestSettings.job("j" + step, 0, 100));
            }
            List<String> assigned = recorders[0].takeStartingWith("assign");
            assertEquals(assigned, recorders[1].takeStartingWith("assign"), "step " + step);
            for (String line : assigned) {
                String[] words = line.split(" ");
                for (Logic each : List.of(byChanges, byWholeLists)) {
                    each.started(at + 2, words[1], 0, words[2]);
                    each.ended(at + 15, TestSettings.outcome(words[1], 0, words[2], Ending.OK));
                }
            }
        }
    }

    @Test
    void aFailedListCallIsMadeAgainWithBackoff() {
        bench.onRequest = true;
        start(worker("w", Phase.SERVING));
        logic.timer(10_000 / 3.0 + 1, 0);
        assertEquals(1, out.takeStartingWith("subscribe").size());
        logic.workers(4000, ListMode.FAILED, List.of());
        assertTrue(out.takeStartingWith("subscribe").isEmpty(), "not at once");
        logic.timer(4000 + 5000, 0);
        assertEquals(1, out.takeStartingWith("subscribe").size());
    }

    @Test
    void stateReturnsToEmpty() throws ReflectiveOperationException {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        for (int i = 0; i < 5000; i++) {
            double t = i * 10;
            String id = "j" + i;
            logic.arrived(t, job(id, 0, 100));
            List<String> sent = out.takeStartingWith("assign " + id);
            if (!sent.isEmpty()) {
                String w = sent.get(0).substring(("assign " + id + " ").length());
                logic.started(t, id, 0, w);
                logic.ended(t + 5, outcome(id, 0, w, Ending.OK));
            }
        }
        logic.timer(1e6, 0);
        for (String name : List.of("requests", "tasks", "requestedTimers")) {
            var field = Logic.class.getDeclaredField(name);
            field.setAccessible(true);
            Object state = field.get(logic);
            int size = state instanceof Map<?, ?> m ? m.size() : ((java.util.Collection<?>) state).size();
            assertEquals(0, size, name);
        }
        assertEquals(0, logic.heldCount(), "held");
    }

    @Test
    void whenFewJobsStartAtOnceASingleShotJobWaitsForSeenRoom() {
        Dispatcher.WorkerEntry[] fleet = new Dispatcher.WorkerEntry[30];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = worker("w" + i, Phase.SERVING);
        }
        start(fleet);
        for (int i = 0; i < 10; i++) {
            logic.arrived(1, job("s" + i, 1, 100));
        }
        assertEquals(10, out.takeStartingWith("assign").size());
        logic.timer(200, 0);
        logic.arrived(201, job("single", 1, 100));
        assertTrue(out.takeStartingWith("assign").isEmpty(), "a burst would fill every queue by theta");
        logic.arrived(202, job("free", 0, 100));
        assertEquals(1, out.takeStartingWith("assign free").size(), "a free job can be recalled and may look for room");
    }

    @Test
    void aJobThatLostItsAimMakesWorthOrderTheBuffer() {
        bench.classes.set(
                1,
                new Dispatcher.JobClass(
                        "dear", 400, 2, 5000, Dispatcher.Effect.SINGLE_SHOT, Dispatcher.Scope.ALL, 2000, 10, 0, -1, 0));
        fillOne();
        logic.started(2, "a", 0, "w");
        logic.started(2, "b", 0, "w");
        logic.arrived(3, job("lost", 0, 10));
        logic.timer(600, 0);
        logic.arrived(601, job("cheap", 0, 100));
        logic.arrived(602, job("dear", 1, 300));
        out.lines.clear();
        logic.ended(603, outcome("a", 0, "w", Ending.OK));
        assertEquals("assign dear w", out.takeStartingWith("assign").get(0));
    }

    @Test
    void oneScanWithoutRoomSpeaksForAllHeldJobsAlike() {
        fillOne();
        for (int i = 0; i < 40; i++) {
            logic.arrived(2, job("h" + i, 0, 100 + i));
        }
        assertTrue(out.takeStartingWith("assign").isEmpty());
        logic.started(3, "a", 0, "w");
        logic.started(3, "b", 0, "w");
        out.lines.clear();
        logic.ended(4, outcome("a", 0, "w", Ending.OK));
        logic.ended(4, outcome("b", 0, "w", Ending.OK));
        assertTrue(out.takeStartingWith("assign").size() >= 2, "room is given as soon as it is there");
    }

    /** Guards the answer at once: a job too late for its aim is not held to its deadline while nothing is spare. */
    @Test
    void aJobGivenUpIsToldAtOnce() {
        start(worker("v", Phase.SERVING), worker("w", Phase.SERVING));
        for (String id : List.of("a", "b", "c", "d")) {
            logic.arrived(1, job(id, 1, 100));
        }
        assertEquals(4, out.takeStartingWith("assign").size());
        logic.timer(100, 0); // none has started: nothing is spare
        logic.arrived(101, job("late", 1, 1000));
        logic.timer(1900, 0);
        assertTrue(out.takeStartingWith("refuse").isEmpty(), "it can still be in time");
        logic.timer(2100, 0);
        assertEquals(List.of("refuse late"), out.takeStartingWith("refuse"));
    }

    /** Guards the same behind a long queue: a job that waited for spare room is told once nothing is spare. */
    @Test
    void aJobThatWaitedForSpareRoomIsToldBehindAQueue() {
        start(worker("w", Phase.SERVING));
        for (String id : List.of("a", "b")) {
            logic.arrived(1, job(id, 1, 1000));
            logic.started(2, id, 0, "w");
        }
        logic.arrived(3, job("late", 1, 1000));
        for (int i = 0; i < 30; i++) {
            logic.arrived(1950, job("small" + i, 1, 1));
        }
        logic.timer(2000, 0);
        assertTrue(out.takeStartingWith("refuse").isEmpty(), "attempts start at once: it may find spare room");
        logic.workers(2001, ListMode.INCREMENTAL, List.of(worker("u", Phase.SERVING), worker("v", Phase.SERVING)));
        logic.timer(2100, 0); // none of the four that went there has started
        logic.timer(2200, 0);
        assertEquals(List.of("refuse late"), out.takeStartingWith("refuse"));
    }
}
