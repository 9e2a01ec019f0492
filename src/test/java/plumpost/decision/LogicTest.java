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

/** Tests the ordinary path of a job and guards against single failures that occurred. */
class LogicTest {
    private final TestSettings settings = new TestSettings();
    private final RecordingActions actions = new RecordingActions();
    private Logic dispatcher;

    private Logic start(Dispatcher.WorkerEntry... workers) {
        dispatcher = new Logic(settings.settings(), 7, actions);
        dispatcher.onWorkerList(0, ListMode.SAVED, List.of(workers));
        return dispatcher;
    }

    /** Assigns two jobs to the only worker, which fills it to the default slot limit. */
    private void startWithFullWorker() {
        start(worker("w", Phase.SERVING));
        for (String id : List.of("a", "b")) {
            dispatcher.onJobArrived(1, job(id, 0, 1000));
        }
        assertEquals(2, actions.takeStartingWith("assign").size());
    }

    @Test
    void jobsAreHeldWithoutFreeSlotsAndAssignedSmallestFirst() {
        startWithFullWorker();
        dispatcher.onJobArrived(2, job("big", 0, 900));
        dispatcher.onJobArrived(2, job("small", 0, 100));
        assertTrue(actions.takeStartingWith("assign").isEmpty(), "the worker has no free slot");
        dispatcher.onAttemptStarted(3, "a", 0, "w");
        dispatcher.onAttemptStarted(3, "b", 0, "w");
        actions.lines.clear();
        dispatcher.onAttemptEnded(4, outcome("a", 0, "w", Ending.OK));
        assertEquals("assign small w", actions.takeStartingWith("assign").get(0));
    }

    @Test
    void anAgedLargeJobIsAssignedBeforeANewSmallOne() {
        settings.classes.set(
                0,
                new Dispatcher.JobClass(
                        "free", 400, 9, 9000, Dispatcher.Effect.FREE, Dispatcher.Scope.ALL, 2000, 1, 0, -1, 0));
        startWithFullWorker();
        dispatcher.onAttemptStarted(2, "a", 0, "w");
        dispatcher.onAttemptStarted(2, "b", 0, "w");
        dispatcher.onJobArrived(3, job("old", 0, 800));
        actions.lines.clear();
        dispatcher.onJobArrived(3 + 350, job("new", 0, 100));
        dispatcher.onAttemptEnded(3 + 351, outcome("a", 0, "w", Ending.OK));
        assertEquals(
                "assign old w",
                actions.takeStartingWith("assign").get(0),
                "aging must halve the estimate of 800 more than three times, to below 100");
    }

    @Test
    void aJobWithoutCostHintUsesTheMedianOfRecentHints() {
        startWithFullWorker();
        dispatcher.onJobArrived(2, job("nohint", 0, Double.NaN));
        dispatcher.onJobArrived(2, job("large", 0, 1500));
        dispatcher.onJobArrived(2, job("small", 0, 700));
        dispatcher.onAttemptStarted(3, "a", 0, "w");
        dispatcher.onAttemptStarted(3, "b", 0, "w");
        dispatcher.onAttemptEnded(4, outcome("a", 0, "w", Ending.OK));
        dispatcher.onAttemptEnded(4, outcome("b", 0, "w", Ending.OK));
        List<String> sent = actions.takeStartingWith("assign");
        assertEquals(List.of("assign small w", "assign nohint w"), sent.subList(0, 2));
    }

    @Test
    void drainingAndUnlistedWorkersGetNoNewJobs() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        dispatcher.onWorkerList(1, ListMode.INCREMENTAL, List.of(worker("w", Phase.DRAINING)));
        dispatcher.onWorkerList(1, ListMode.FULL, List.of(worker("w", Phase.DRAINING)));
        dispatcher.onJobArrived(2, job("a", 0, 100));
        assertTrue(actions.takeStartingWith("assign").isEmpty());
        dispatcher.onWorkerList(3, ListMode.INCREMENTAL, List.of(worker("y", Phase.SERVING)));
        assertEquals(List.of("assign a y"), actions.takeStartingWith("assign"));
    }

    @Test
    void aSingleShotJobIsRetriedOnlyIfItNeverRan() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        dispatcher.onJobArrived(1, job("a", 1, 100));
        String first = actions.takeStartingWith("assign").get(0).substring("assign a ".length());
        dispatcher.onAttemptEnded(2, outcome("a", 0, first, Ending.FULL));
        String second = actions.takeStartingWith("assign").get(0).substring("assign a ".length());
        dispatcher.onAttemptEnded(3, outcome("a", 1, second, Ending.RESET));
        assertEquals(List.of("fail a"), actions.lines);
    }

    /** Healthy workers may refuse one connection in ten: one refusal is ignored, and two in a row eject the worker. */
    @Test
    void aWorkerIsEjectedAfterTheSecondConnectionRefusedAtOnce() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING), worker("y", Phase.SERVING));
        dispatcher.onWorkerList(
                1, ListMode.INCREMENTAL, List.of(worker("x", Phase.DRAINING), worker("y", Phase.DRAINING)));
        dispatcher.onJobArrived(1, job("a", 1, 1000));
        actions.lines.clear();
        dispatcher.onAttemptEnded(2, outcome("a", 0, "w", Ending.CONNECT_FAILED));
        assertEquals(List.of("assign a w"), actions.takeStartingWith("assign"));
        dispatcher.onWorkerList(
                2, ListMode.INCREMENTAL, List.of(worker("x", Phase.SERVING), worker("y", Phase.SERVING)));
        dispatcher.onAttemptEnded(3, outcome("a", 1, "w", Ending.CONNECT_FAILED));
        assertTrue(actions.takeStartingWith("assign").stream().noneMatch(l -> l.endsWith(" w")));
    }

    @Test
    void aGuardedJobIsRetriedOnlyInItsGroupAndWindow() {
        start(worker("w", 0, 1, 0), worker("x", 1, 2, 0));
        dispatcher.onJobArrived(1, job("a", 2, 100));
        String first = actions.takeStartingWith("assign").get(0).substring("assign a ".length());
        dispatcher.onAttemptEnded(2, outcome("a", 0, first, Ending.RESET));
        List<String> again = actions.takeStartingWith("assign");
        assertTrue(again.isEmpty() || again.get(0).endsWith(first), "a worker in another zone is not in the group");
        dispatcher.onJobArrived(10, job("b", 4, 100));
        String worker = actions.takeStartingWith("assign b").get(0).substring("assign b ".length());
        dispatcher.onAttemptEnded(10 + 2001, outcome("b", 0, worker, Ending.ERROR));
        assertFalse(
                actions.lines.stream().anyMatch(l -> l.startsWith("assign b")), "the window for repeats has passed");
        assertTrue(actions.lines.contains("fail b"));
    }

    @Test
    void aHeldJobIsAnsweredEvenIfTimersFireSlightlyEarly() {
        start();
        dispatcher.onJobArrived(0.0004, job("a", 0, 100));
        double now = 0;
        for (int timerCount = 0; timerCount < 1000 && now < 5000 && !actions.lines.contains("fail a"); timerCount++) {
            now = actions.timers.stream()
                    .mapToDouble(d -> d)
                    .filter(d -> d > 0)
                    .min()
                    .orElse(1e9);
            actions.timers.removeIf(
                    d -> d <= actions.timers.stream().mapToDouble(x -> x).min().orElse(0));
            dispatcher.onTimer(Math.floor(now * 1000) / 1000, 0);
        }
        assertTrue(actions.lines.contains("fail a"), "a stalled timer leaves the job without an answer");
    }

    @Test
    void aFreeJobThatDoesNotStartIsRecalledAndSentElsewhere() {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        dispatcher.onJobArrived(1, job("a", 0, 100));
        String first = actions.takeStartingWith("assign").get(0).substring("assign a ".length());
        dispatcher.onTimer(200, 0);
        assertEquals(List.of("cancel a 0"), actions.takeStartingWith("cancel"));
        dispatcher.onAttemptEnded(201, outcome("a", 0, first, Ending.CANCELLED));
        assertFalse(actions.takeStartingWith("assign").get(0).endsWith(first));
        dispatcher.onJobArrived(300, job("b", 1, 100));
        actions.lines.clear();
        dispatcher.onTimer(600, 0);
        assertTrue(
                actions.takeStartingWith("cancel b").isEmpty(),
                "a single-shot job is never recalled since it may have run");
    }

    @Test
    void aColdWorkerGetsAtMostThisDispatchersPartOfItsBudget() {
        settings.balancers = 10;
        start(worker("cold", 0, 0, 1));
        double sent = 0;
        for (int t = 1; t < 2000; t += 10) {
            String id = "j" + t;
            dispatcher.onJobArrived(t, job(id, 0, 20));
            if (!actions.takeStartingWith("assign " + id).isEmpty()) {
                sent += 20;
                dispatcher.onAttemptEnded(t, outcome(id, 0, "cold", Ending.OK));
            }
        }
        // Three times a fifth (0.36 at the end of the 2 s) of two slots for two seconds, divided among ten dispatchers.
        assertTrue(sent <= 3 * 0.36 * 2 * 2000 / 10, "sent " + sent);
    }

    @Test
    void firstJobsForAColdWorkerAreSpreadOverDispatchers() {
        settings.balancers = 100;
        int assignedAtOnce = 0;
        for (int seed = 0; seed < 100; seed++) {
            RecordingActions recording = new RecordingActions();
            Logic oneOfMany = new Logic(settings.settings(), seed, recording);
            oneOfMany.onWorkerList(0, ListMode.SAVED, List.of(worker("cold", 0, 0, 1)));
            oneOfMany.onJobArrived(1, job("a", 0, 400));
            assignedAtOnce += recording.takeStartingWith("assign").size();
        }
        assertTrue(assignedAtOnce < 10, assignedAtOnce + " of 100 dispatchers assigned at once");
    }

    /** Drains announced while the list service fails count as known 6 s later, so calls must be retried soon. */
    @Test
    void repeatedListFailuresDoNotDelayTheNextCall() {
        start(worker("w", Phase.SERVING));
        for (double failedAt = 1; failedAt < 40_000; failedAt += 4000) {
            dispatcher.onWorkerList(failedAt, ListMode.FAILED, List.of());
            dispatcher.onTimer(failedAt + 3751, 0);
            assertEquals(1, actions.takeStartingWith("subscribe").size(), "list call failed at " + failedAt);
        }
    }

    /** Applying single changes must give the same workers as applying the whole list after each change. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void changesLeadToTheSameWorkersAsWholeLists(long seed) {
        RecordingActions[] recorders = {new RecordingActions(), new RecordingActions()};
        Logic byChanges = new Logic(settings.settings(), 9, recorders[0]);
        Logic byWholeLists = new Logic(settings.settings(), 9, recorders[1]);
        Map<String, Dispatcher.WorkerEntry> list = new LinkedHashMap<>();
        Random random = new Random(seed);
        byChanges.onWorkerList(0, ListMode.FULL, List.of());
        byWholeLists.onWorkerList(0, ListMode.FULL, List.of());
        for (int step = 1; step < 600; step++) {
            double now = step * 20;
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
            byChanges.onWorkerList(now, ListMode.INCREMENTAL, List.of(entry));
            byWholeLists.onWorkerList(now, ListMode.FULL, List.copyOf(list.values()));
            for (Logic logic : List.of(byChanges, byWholeLists)) {
                logic.onJobArrived(now + 1, TestSettings.job("j" + step, 0, 100));
            }
            List<String> assigned = recorders[0].takeStartingWith("assign");
            assertEquals(assigned, recorders[1].takeStartingWith("assign"), "step " + step);
            for (String action : assigned) {
                String[] parts = action.split(" ");
                for (Logic logic : List.of(byChanges, byWholeLists)) {
                    logic.onAttemptStarted(now + 2, parts[1], 0, parts[2]);
                    logic.onAttemptEnded(now + 15, TestSettings.outcome(parts[1], 0, parts[2], Ending.OK));
                }
            }
        }
    }

    @Test
    void aFailedListCallIsRetriedWithBackoff() {
        settings.listOnRequest = true;
        start(worker("w", Phase.SERVING));
        dispatcher.onTimer(10_000 / 3.0 + 1, 0);
        assertEquals(1, actions.takeStartingWith("subscribe").size());
        dispatcher.onWorkerList(4000, ListMode.FAILED, List.of());
        assertTrue(actions.takeStartingWith("subscribe").isEmpty(), "the call must not be repeated at once");
        dispatcher.onTimer(4000 + 5000, 0);
        assertEquals(1, actions.takeStartingWith("subscribe").size());
    }

    @Test
    void stateReturnsToEmpty() throws ReflectiveOperationException {
        start(worker("w", Phase.SERVING), worker("x", Phase.SERVING));
        for (int i = 0; i < 5000; i++) {
            double t = i * 10;
            String id = "j" + i;
            dispatcher.onJobArrived(t, job(id, 0, 100));
            List<String> sent = actions.takeStartingWith("assign " + id);
            if (!sent.isEmpty()) {
                String workerId = sent.get(0).substring(("assign " + id + " ").length());
                dispatcher.onAttemptStarted(t, id, 0, workerId);
                dispatcher.onAttemptEnded(t + 5, outcome(id, 0, workerId, Ending.OK));
            }
        }
        dispatcher.onTimer(1e6, 0);
        for (String name : List.of("requests", "tasks", "requestedTimers")) {
            var field = Logic.class.getDeclaredField(name);
            field.setAccessible(true);
            Object state = field.get(dispatcher);
            int size = state instanceof Map<?, ?> m ? m.size() : ((java.util.Collection<?>) state).size();
            assertEquals(0, size, name);
        }
        assertEquals(0, dispatcher.heldCount(), "held");
    }

    @Test
    void whenFewJobsStartPromptlyASingleShotJobWaitsForEvidenceOfAFreeSlot() {
        Dispatcher.WorkerEntry[] fleet = new Dispatcher.WorkerEntry[30];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = worker("w" + i, Phase.SERVING);
        }
        start(fleet);
        for (int i = 0; i < 10; i++) {
            dispatcher.onJobArrived(1, job("s" + i, 1, 100));
        }
        assertEquals(10, actions.takeStartingWith("assign").size());
        dispatcher.onTimer(200, 0);
        dispatcher.onJobArrived(201, job("single", 1, 100));
        assertTrue(
                actions.takeStartingWith("assign").isEmpty(),
                "the default slot limit would let a burst fill the queues of all workers");
        dispatcher.onJobArrived(202, job("free", 0, 100));
        assertEquals(
                1,
                actions.takeStartingWith("assign free").size(),
                "a free job can be recalled, so it is assigned without evidence");
    }

    @Test
    void afterAJobIsLateHeldJobsAreOrderedByWorth() {
        settings.classes.set(
                1,
                new Dispatcher.JobClass(
                        "dear", 400, 2, 5000, Dispatcher.Effect.SINGLE_SHOT, Dispatcher.Scope.ALL, 2000, 10, 0, -1, 0));
        startWithFullWorker();
        dispatcher.onAttemptStarted(2, "a", 0, "w");
        dispatcher.onAttemptStarted(2, "b", 0, "w");
        dispatcher.onJobArrived(3, job("lost", 0, 10));
        dispatcher.onTimer(600, 0);
        dispatcher.onJobArrived(601, job("cheap", 0, 100));
        dispatcher.onJobArrived(602, job("dear", 1, 300));
        actions.lines.clear();
        dispatcher.onAttemptEnded(603, outcome("a", 0, "w", Ending.OK));
        assertEquals("assign dear w", actions.takeStartingWith("assign").get(0));
    }

    @Test
    void heldJobsAreAssignedAsSoonAsASlotIsFreeAfterOneScan() {
        startWithFullWorker();
        for (int i = 0; i < 40; i++) {
            dispatcher.onJobArrived(2, job("h" + i, 0, 100 + i));
        }
        assertTrue(actions.takeStartingWith("assign").isEmpty());
        dispatcher.onAttemptStarted(3, "a", 0, "w");
        dispatcher.onAttemptStarted(3, "b", 0, "w");
        actions.lines.clear();
        dispatcher.onAttemptEnded(4, outcome("a", 0, "w", Ending.OK));
        dispatcher.onAttemptEnded(4, outcome("b", 0, "w", Ending.OK));
        assertTrue(
                actions.takeStartingWith("assign").size() >= 2, "held jobs must be assigned as soon as slots are free");
    }

    /** A job that cannot be in time must not be held until its deadline while there is no spare capacity. */
    @Test
    void aJobThatIsGivenUpIsAnsweredAtOnce() {
        start(worker("v", Phase.SERVING), worker("w", Phase.SERVING));
        for (String id : List.of("a", "b", "c", "d")) {
            dispatcher.onJobArrived(1, job(id, 1, 100));
        }
        assertEquals(4, actions.takeStartingWith("assign").size());
        dispatcher.onTimer(100, 0); // no attempt has started, so there is no spare capacity
        dispatcher.onJobArrived(101, job("late", 1, 1000));
        dispatcher.onTimer(1900, 0);
        assertTrue(actions.takeStartingWith("refuse").isEmpty(), "the job can still be in time");
        dispatcher.onTimer(2100, 0);
        assertEquals(List.of("refuse late"), actions.takeStartingWith("refuse"));
    }

    /** The same behind a long queue: a late job that waits for spare capacity is answered once there is none. */
    @Test
    void aLateJobBehindAQueueIsAnsweredOnceNoCapacityIsSpare() {
        start(worker("w", Phase.SERVING));
        for (String id : List.of("a", "b")) {
            dispatcher.onJobArrived(1, job(id, 1, 1000));
            dispatcher.onAttemptStarted(2, id, 0, "w");
        }
        dispatcher.onJobArrived(3, job("late", 1, 1000));
        for (int i = 0; i < 30; i++) {
            dispatcher.onJobArrived(1950, job("small" + i, 1, 1));
        }
        dispatcher.onTimer(2000, 0);
        assertTrue(
                actions.takeStartingWith("refuse").isEmpty(),
                "attempts start promptly, so there may be spare capacity");
        dispatcher.onWorkerList(
                2001, ListMode.INCREMENTAL, List.of(worker("u", Phase.SERVING), worker("v", Phase.SERVING)));
        dispatcher.onTimer(2100, 0); // none of the four jobs sent to u and v has started
        dispatcher.onTimer(2200, 0);
        assertEquals(List.of("refuse late"), actions.takeStartingWith("refuse"));
    }
}
