package plumpost.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static plumpost.decision.TestSettings.job;
import static plumpost.decision.TestSettings.outcome;
import static plumpost.decision.TestSettings.worker;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;

/** Tests what counts as evidence of a worker's free slots: its load reports, and the starts and ends of own jobs. */
class EvidenceTest {
    private final TestSettings settings = new TestSettings();
    private final RecordingActions actions = new RecordingActions();
    private Logic dispatcher;

    @BeforeEach
    void start() {
        settings.reports = Dispatcher.Reports.PULL;
        dispatcher = new Logic(settings.settings(), 7, actions);
        dispatcher.onWorkerList(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING)));
    }

    private void report(double now, double freeSlots, double runningJobs) {
        dispatcher.onProbeResult(
                now, "w", Ending.OK, 1, new LoadReport(runningJobs, 0, 500, Double.NaN, freeSlots, Double.NaN));
    }

    /** Adds a job that is assigned after a probe and starts promptly. */
    private void probeAndStartPromptly(String id, double now) {
        dispatcher.onJobArrived(now, job(id, 0, 100));
        assertThat(actions.takeStartingWith("probe")).containsExactly("probe w");
        report(now + 1, 1, 0);
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign " + id + " w");
        dispatcher.onAttemptStarted(now + 5, id, 0, "w");
        actions.lines.clear();
    }

    /** With little traffic, reports were too old for the next job, so that each job probed three workers again. */
    @Test
    void theEndOfAPromptlyStartedJobShowsAFreeSlotWithoutAProbe() {
        probeAndStartPromptly("a", 1);
        dispatcher.onAttemptEnded(1_900, outcome("a", 0, "w", Ending.OK));
        dispatcher.onJobArrived(2_500, job("b", 0, 100));
        assertThat(actions.lines).contains("assign b w").noneMatch(l -> l.startsWith("probe"));
    }

    /** The job was queued at the worker, so its slot may go to one queued behind it: the next job must probe again. */
    @Test
    void theEndOfAJobThatStartedLateShowsNoFreeSlot() {
        dispatcher.onJobArrived(1, job("a", 0, 100));
        report(2, 1, 0);
        actions.lines.clear();
        dispatcher.onTimer(400, 0);
        dispatcher.onAttemptStarted(700, "a", 0, "w");
        dispatcher.onAttemptEnded(1_900, outcome("a", 0, "w", Ending.OK));
        dispatcher.onJobArrived(2_500, job("b", 0, 100));
        assertThat(actions.takeStartingWith("")).contains("probe w").noneMatch(l -> l.startsWith("assign"));
    }

    /** Whether a job of 1,000 ms is assigned to a cold worker of the same kind 5 s after its start, at 0.6 of its capacity. */
    private boolean coldWorkerGetsLargeJob(double now) {
        dispatcher.onWorkerList(now, ListMode.FULL, List.of(worker("cold", 0, 0, now - 4_000)));
        dispatcher.onJobArrived(now + 1_000, job("large" + now, 0, 1_000));
        dispatcher.onProbeResult(
                now + 1_001, "cold", Ending.OK, 1, new LoadReport(0, 0, 500, Double.NaN, 4, Double.NaN));
        boolean sent = actions.takeStartingWith("assign").contains("assign large" + now + " cold");
        dispatcher.onClientGone(now + 1_002, "large" + now);
        return sent;
    }

    /** Own jobs are too few to show more slots than the default limit, which kept the budget of cold workers low. */
    @Test
    void slotsOfAKindAreLearnedFromReports() {
        assertThat(coldWorkerGetsLargeJob(10_000))
                .as("a quarter of the work allowed for two slots is 720 ms")
                .isFalse();
        dispatcher.onWorkerList(12_000, ListMode.FULL, List.of(worker("w", Phase.SERVING)));
        for (int i = 0; i < 30; i++) {
            double now = 20_000 + 2_000 * i;
            dispatcher.onJobArrived(now, job("p" + i, 0, 1_000));
            assertThat(actions.takeStartingWith("probe")).containsExactly("probe w");
            report(now + 1, 0, 4);
            dispatcher.onClientGone(now + 2, "p" + i);
            actions.lines.clear();
        }
        assertThat(coldWorkerGetsLargeJob(100_000))
                .as("a quarter of the work allowed for four slots is 1,440 ms")
                .isTrue();
    }

    /** One false report must not raise the budgets of all cold workers of the kind. */
    @Test
    void oneFalseReportDoesNotOpenColdWorkers() {
        dispatcher.onJobArrived(1, job("a", 0, 1_000));
        report(2, 0, 1e9);
        dispatcher.onClientGone(3, "a");
        actions.lines.clear();
        assertThat(coldWorkerGetsLargeJob(10_000))
                .as("a quarter of the work allowed for 2.2 slots is 792 ms")
                .isFalse();
    }

    /** Reports that predate this dispatcher's jobs showed their slots as free and attracted more jobs to a full worker. */
    @Test
    void anOldReportDoesNotHideThisDispatchersJobs() {
        int assignedJobs = 0;
        for (int i = 0; i < 12; i++) {
            double now = 10 + 600 * i;
            dispatcher.onJobArrived(now, job("a" + i, 0, 1_000));
            // Three free slots, which was true before the first job arrived.
            dispatcher.onProbeResult(
                    now + 1, "w", Ending.OK, 1, new LoadReport(Double.NaN, 0, 500, Double.NaN, 3, Double.NaN));
            boolean assigned = actions.lines.contains("assign a" + i + " w");
            assignedJobs += assigned ? 1 : 0;
            if (assigned) {
                dispatcher.onAttemptStarted(now + 2, "a" + i, 0, "w");
            }
            actions.lines.clear();
        }
        assertThat(assignedJobs).isEqualTo(3);
    }

    private void restart(Dispatcher.Reports reports) {
        settings.reports = reports;
        dispatcher = new Logic(settings.settings(), 7, actions);
        dispatcher.onWorkerList(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING)));
        actions.lines.clear();
    }

    /** Reports that arrive with answers predate most assigned jobs, so the default slot limit must apply. */
    @Test
    void reportsWithAnswersAreNoEvidenceOfFreeSlots() {
        restart(Dispatcher.Reports.PIGGYBACK);
        dispatcher.onJobArrived(1, job("a", 0, 100));
        dispatcher.onAttemptStarted(2, "a", 0, "w");
        dispatcher.onAttemptEnded(
                1_000,
                new Dispatcher.Outcome(
                        "a",
                        0,
                        "w",
                        Ending.OK,
                        1_000,
                        true,
                        new LoadReport(Double.NaN, 0, 500, Double.NaN, 9, Double.NaN)));
        actions.lines.clear();
        for (int i = 0; i < 6; i++) {
            dispatcher.onJobArrived(1_001 + i, job("b" + i, 0, 100));
        }
        assertThat(actions.takeStartingWith("assign")).hasSize(2);
        assertThat(actions.lines)
                .as("probes are not used where reports come with answers")
                .noneMatch(l -> l.startsWith("probe"));
    }

    /** A late job whose answer keeps part of its worth is assigned after a fresh one while jobs wait. */
    @Test
    void aLateJobIsAssignedAfterOneThatCanBeInTime() {
        settings.classes = List.of(new Dispatcher.JobClass(
                "c", 400, 0, 9_000, Dispatcher.Effect.FREE, Dispatcher.Scope.ALL, 0, 1, 0.25, -1, 0));
        restart(Dispatcher.Reports.SILENT);
        for (String id : List.of("a", "b")) {
            dispatcher.onJobArrived(1, job(id, 0, 100));
            dispatcher.onAttemptStarted(2, id, 0, "w");
        }
        dispatcher.onJobArrived(10, job("old", 0, 100));
        dispatcher.onTimer(600, 0);
        dispatcher.onJobArrived(1_000, job("new", 0, 100));
        actions.lines.clear();
        dispatcher.onAttemptEnded(1_001, outcome("a", 0, "w", Ending.OK));
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign new w");
        dispatcher.onAttemptEnded(1_002, outcome("b", 0, "w", Ending.OK));
        assertThat(actions.takeStartingWith("assign")).containsExactly("assign old w");
    }

    private void listTwoWorkers() {
        dispatcher.onWorkerList(0, ListMode.FULL, List.of(worker("w", Phase.SERVING), worker("x", Phase.SERVING)));
    }

    /** Adds a job, answers each probe with one free slot, and returns the worker that gets the job. */
    private String assignedWorker(String id, int classIndex, double now) {
        dispatcher.onJobArrived(now, job(id, classIndex, 100));
        for (String probe :
                actions.lines.stream().filter(l -> l.startsWith("probe ")).toList()) {
            dispatcher.onProbeResult(
                    now + 1,
                    probe.substring("probe ".length()),
                    Ending.OK,
                    1,
                    new LoadReport(0, 0, 500, Double.NaN, 1, Double.NaN));
        }
        String line = actions.takeStartingWith("assign " + id).get(0);
        return line.substring(line.lastIndexOf(' ') + 1);
    }

    /** Each scheduler of a large fleet used to lose two orders to a failing worker before it ejected the worker. */
    @Test
    void oneErrorEjectsItsWorker() {
        listTwoWorkers();
        String failedWorker = assignedWorker("a", 1, 1);
        dispatcher.onAttemptEnded(300, outcome("a", 0, failedWorker, Ending.ERROR));
        assertThat(dispatcher.ejectedWorkers(301)).isEqualTo(1);
        assertThat(assignedWorker("b", 0, 302)).isNotEqualTo(failedWorker);
    }

    /** A worker that failed most jobs used to be fully trusted after one success. */
    @Test
    void oneSuccessDoesNotClearSeveralErrors() {
        Ending[] endings = {Ending.ERROR, Ending.ERROR, Ending.ERROR, Ending.OK, Ending.ERROR};
        for (int i = 0; i < endings.length; i++) {
            double now = 1 + 20_000 * i;
            assertThat(assignedWorker("a" + i, 0, now)).isEqualTo("w");
            dispatcher.onAttemptEnded(now + 100, outcome("a" + i, 0, "w", endings[i]));
            dispatcher.onClientGone(now + 100, "a" + i);
        }
        assertThat(dispatcher.ejectedWorkers(80_101 + 1_500))
                .as("a first error would eject for 1 s only")
                .isEqualTo(1);
    }

    /** An order must not be used to test whether a worker that failed works again: another worker is probed. */
    @Test
    void anOrderProbesAnotherWorkerThanOneThatFailedLately() {
        probeAndStartPromptly("a", 1);
        dispatcher.onAttemptEnded(100, outcome("a", 0, "w", Ending.ERROR));
        dispatcher.onClientGone(101, "a");
        probeAndStartPromptly("b", 20_000);
        dispatcher.onWorkerList(20_010, ListMode.INCREMENTAL, List.of(worker("x", Phase.SERVING)));
        dispatcher.onJobArrived(20_011, job("o", 1, 100));
        assertThat(actions.takeStartingWith("")).contains("probe x").noneMatch(l -> l.startsWith("assign"));
    }

    /** The same without probes: if both workers have free slots, the one that failed is used last. */
    @Test
    void withoutProbesAnOrderPrefersWorkersThatDidNotFail() {
        settings.reports = Dispatcher.Reports.SILENT;
        dispatcher = new Logic(settings.settings(), 7, actions);
        dispatcher.onWorkerList(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING), worker("x", Phase.SERVING)));
        dispatcher.onJobArrived(1, job("a", 1, 100));
        String failedWorker = actions.takeStartingWith("assign a").get(0).substring("assign a ".length());
        dispatcher.onAttemptEnded(100, outcome("a", 0, failedWorker, Ending.ERROR));
        for (int i = 0; i < 4; i++) {
            double now = 20_000 + 5_000 * i;
            dispatcher.onJobArrived(now, job("o" + i, 1, 100));
            assertThat(actions.takeStartingWith("assign o")).noneMatch(l -> l.endsWith(" " + failedWorker));
            dispatcher.onAttemptEnded(now + 100, outcome("o" + i, 0, failedWorker.equals("w") ? "x" : "w", Ending.OK));
        }
    }

    /** If there is no other worker, an order is assigned to one that failed rather than not at all. */
    @Test
    void anOrderIsAssignedToAFailedWorkerIfThereIsNoOther() {
        dispatcher.onJobArrived(1, job("a", 0, 100));
        report(2, 1, 0);
        dispatcher.onAttemptEnded(100, outcome("a", 0, "w", Ending.ERROR));
        actions.lines.clear();
        dispatcher.onClientGone(101, "a");
        dispatcher.onJobArrived(20_000, job("o", 1, 100));
        for (int i = 0; i < 3 && actions.lines.contains("probe w"); i++) {
            actions.lines.clear();
            report(20_001 + 600 * i, 1, 0);
        }
        dispatcher.onTimer(22_000, 0);
        assertThat(actions.lines).contains("assign o w");
    }
}
