package plumpost.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static plumpost.decision.TestSettings.outcome;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.Job;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;

/** Tests workers with a known number of slots, the queues of their kinds of work, and job priorities. */
class DedicatedWorkersTest {
    private final RecordingActions actions = new RecordingActions();
    private final Logic dispatcher = new Logic(new TestSettings().settings(), 1, actions);

    private void listDedicatedWorker(String id, Phase phase, int... workKinds) {
        BitSet runs = new BitSet();
        for (int kind : workKinds) {
            runs.set(kind);
        }
        dispatcher.onWorkerList(0, ListMode.INCREMENTAL, List.of(new WorkerEntry(id, 0, 0, 0, phase, 1, 0, runs, 1)));
    }

    private void addJob(double now, String id, int work, int priority) {
        dispatcher.onJobArrived(
                now, new Job(id, 0, 0, null, 5000, Double.NaN, 1, Double.NaN, false, work, priority, 60_000));
    }

    /** A worker with one known slot runs one job at a time and is never probed, since its free slots are known. */
    @Test
    void aWorkerWithOneSlotGetsOneJobAtATimeAndNoProbe() {
        listDedicatedWorker("w", Phase.SERVING, 7);
        addJob(1, "a", 7, 0);
        addJob(2, "b", 7, 0);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign a w");
        dispatcher.onAttemptStarted(3, "a", 0, "w");
        dispatcher.onAttemptEnded(4, outcome("a", 0, "w", Ending.OK));
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign b w");
        assertThat(actions.lines).noneMatch(l -> l.startsWith("probe"));
    }

    /** Many held jobs of a kind of work that no worker runs must not delay jobs of other kinds. */
    @Test
    void workThatNoWorkerRunsDoesNotDelayOtherWork() {
        for (int i = 0; i < 100; i++) {
            addJob(1, "held" + i, 8, 0);
        }
        listDedicatedWorker("w", Phase.SERVING, 7);
        addJob(2, "a", 7, 0);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign a w");
        listDedicatedWorker("v", Phase.SERVING, 8);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign held0 v");
    }

    /** A job is assigned to a worker freed lately, which is still awake, not to the one that has been idle longest. */
    @Test
    void aWorkerFreedLatelyIsPreferred() {
        int workerCount = Logic.MAX_DEDICATED_WORKERS_EXAMINED + 4;
        for (int i = 0; i < workerCount; i++) {
            listDedicatedWorker("w" + i, Phase.SERVING, 7);
        }
        for (int i = 0; i < workerCount; i++) {
            addJob(1, "j" + i, 7, 0);
        }
        List<String> sent = actions.takeStartingWith("assign");
        assertThat(sent).hasSize(workerCount);
        List<String> freed =
                sent.stream().map(l -> l.substring(l.lastIndexOf(' ') + 1)).toList();
        for (int i = 0; i < workerCount; i++) {
            dispatcher.onAttemptStarted(2, "j" + i, 0, freed.get(i));
            dispatcher.onAttemptEnded(3, outcome("j" + i, 0, freed.get(i), Ending.OK));
        }
        addJob(5, "next", 7, 0);
        String taken = actions.takeStartingWith("assign next").get(0).substring("assign next ".length());
        assertThat(freed.subList(4, workerCount)).contains(taken);
    }

    /** A step of priority counts as much as 2 s of age and no more, so that jobs of low priority are not starved. */
    @Test
    void aStepOfPriorityIsWorthTwoSecondsOfAge() {
        addJob(0, "old", 7, 0);
        addJob(1900, "high", 7, 1);
        addJob(2100, "low", 7, -1);
        addJob(2100, "late", 7, 1);
        listDedicatedWorker("w", Phase.SERVING, 7);
        for (String next : List.of("high", "old", "late", "low")) {
            assertThat(actions.takeStartingWith("assign")).containsExactly("assign " + next + " w");
            dispatcher.onAttemptStarted(2200, next, 0, "w");
            dispatcher.onAttemptEnded(2200, outcome(next, 0, "w", Ending.OK));
        }
    }

    /** A failure that the worker reports for a job is not retried and does not eject the worker. */
    @Test
    void aJobThatItsWorkerReportsFailedIsNotRetried() {
        listDedicatedWorker("w", Phase.SERVING, 7);
        for (int i = 0; i < 5; i++) {
            addJob(1, "a" + i, 7, 0);
            assertThat(actions.takeStartingWith("assign")).containsExactly("assign a" + i + " w");
            dispatcher.onAttemptStarted(2, "a" + i, 0, "w");
            dispatcher.onAttemptEnded(3, outcome("a" + i, 0, "w", Ending.ERROR));
            assertThat(actions.takeStartingWith("fail")).containsExactly("fail a" + i);
        }
    }

    /** Repeatable jobs of a lost worker are sent to another one, and the lost worker gets no new jobs. */
    @Test
    void jobsOfALostWorkerAreSentToAnother() {
        listDedicatedWorker("w", Phase.SERVING, 7);
        addJob(1, "a", 7, 0);
        actions.lines.clear();
        listDedicatedWorker("v", Phase.SERVING, 7);
        listDedicatedWorker("w", Phase.DELETED, 7);
        dispatcher.onAttemptEnded(2, outcome("a", 0, "w", Ending.RESET));
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign a v");
        addJob(3, "b", 7, 0);
        assertThat(actions.takeStartingWith("assign")).isEmpty();
    }

    /** The kinds of work that a worker runs may change while it is free. */
    @Test
    void aWorkerGetsOnlyWorkThatItRuns() {
        listDedicatedWorker("w", Phase.SERVING, 7, 8);
        listDedicatedWorker("w", Phase.SERVING, 8);
        addJob(1, "a", 7, 0);
        assertThat(actions.takeStartingWith("assign")).isEmpty();
        addJob(1, "b", 8, 0);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign b w");
        listDedicatedWorker("v", Phase.SERVING, 7);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign a v");
        listDedicatedWorker("x", Phase.DRAINING, 7);
        addJob(2, "c", 7, 0);
        assertThat(actions.takeStartingWith("assign")).isEmpty();
    }

    /** A background job with a target time of its own is not given up when the target time of its class has passed. */
    @Test
    void aJobsOwnTargetTimeReplacesThatOfItsClass() {
        dispatcher.onJobArrived(0, new Job("bg", 0, 0, null, 60_000, Double.NaN, 1, Double.NaN, false, 7, 0, 60_000));
        for (double now = 80; now < 20_000; now += 80) {
            dispatcher.onTimer(now, 0);
        }
        assertThat(actions.lines).noneMatch(l -> l.startsWith("refuse") || l.startsWith("fail"));
        listDedicatedWorker("w", Phase.SERVING, 7);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign bg w");
    }

    /** Gearman workers cannot be probed: an order for one that failed must not wait for a probe, unlike with other nodes. */
    @Test
    void anOrderDoesNotWaitForAProbeOfADedicatedWorkerThatFailed() {
        TestSettings settings = new TestSettings();
        settings.reports = Dispatcher.Reports.PULL;
        Logic probing = new Logic(settings.settings(), 1, actions);
        BitSet runs = new BitSet();
        runs.set(7);
        probing.onWorkerList(
                0, ListMode.INCREMENTAL, List.of(new WorkerEntry("w", 0, 0, 0, Phase.SERVING, 1, 0, runs, 1)));
        for (int i = 0; i < 2; i++) {
            double now = 1 + 20_000 * i;
            probing.onJobArrived(
                    now, new Job("o" + i, 1, 0, null, 5000, Double.NaN, 1, Double.NaN, false, 7, 0, 60_000));
            assertThat(actions.takeStartingWith("assign")).containsExactly("assign o" + i + " w");
            probing.onAttemptEnded(now + 10, outcome("o" + i, 0, "w", Ending.RESET));
        }
    }
}
