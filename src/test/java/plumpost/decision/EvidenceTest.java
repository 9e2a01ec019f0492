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

/** What a scheduler that may probe takes as evidence of a worker's room: reports, and what its own jobs saw. */
class EvidenceTest {
    private final TestSettings bench = new TestSettings();
    private final RecordingActions out = new RecordingActions();
    private Logic logic;

    @BeforeEach
    void start() {
        bench.reports = Dispatcher.Reports.PULL;
        logic = new Logic(bench.settings(), 7, out);
        logic.workers(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING)));
    }

    private void report(double now, double free, double inflight) {
        logic.probed(now, "w", Ending.OK, 1, new LoadReport(inflight, 0, 500, Double.NaN, free, Double.NaN));
    }

    /** A job that asked, was sent on the report and started at once. */
    private void firstJobStartsAtOnce(String id, double now) {
        logic.arrived(now, job(id, 0, 100));
        assertThat(out.takeStartingWith("probe")).containsExactly("probe w");
        report(now + 1, 1, 0);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign " + id + " w");
        logic.started(now + 5, id, 0, "w");
        out.lines.clear();
    }

    /** Guards thin traffic: a report grows old between two jobs, and each of them asked three workers again. */
    @Test
    void theEndOfAJobThatStartedAtOnceShowsRoomWithoutAProbe() {
        firstJobStartsAtOnce("a", 1);
        logic.ended(1_900, outcome("a", 0, "w", Ending.OK));
        logic.arrived(2_500, job("b", 0, 100));
        assertThat(out.lines).contains("assign b w").noneMatch(l -> l.startsWith("probe"));
    }

    /** Its slot was waited for: whoever waited behind it has the slot now, so the next job asks again. */
    @Test
    void theEndOfAJobThatWaitedShowsNoRoom() {
        logic.arrived(1, job("a", 0, 100));
        report(2, 1, 0);
        out.lines.clear();
        logic.timer(400, 0);
        logic.started(700, "a", 0, "w");
        logic.ended(1_900, outcome("a", 0, "w", Ending.OK));
        logic.arrived(2_500, job("b", 0, 100));
        assertThat(out.takeStartingWith("")).contains("probe w").noneMatch(l -> l.startsWith("assign"));
    }

    /** Whether a job of 1,000 may go to a worker of the same kind, 5 s after its start: at 0.6 of its capacity. */
    private boolean coldWorkerTakesALargeJob(double now) {
        logic.workers(now, ListMode.FULL, List.of(worker("cold", 0, 0, now - 4_000)));
        logic.arrived(now + 1_000, job("large" + now, 0, 1_000));
        logic.probed(now + 1_001, "cold", Ending.OK, 1, new LoadReport(0, 0, 500, Double.NaN, 4, Double.NaN));
        boolean sent = out.takeStartingWith("assign").contains("assign large" + now + " cold");
        logic.clientGone(now + 1_002, "large" + now);
        return sent;
    }

    /** Guards cold workers' capacity: few jobs of one's own never showed more than theta slots. */
    @Test
    void slotsOfAKindAreLearnedFromReports() {
        assertThat(coldWorkerTakesALargeJob(10_000))
                .as("a quarter of what two slots may be sent is 720")
                .isFalse();
        logic.workers(12_000, ListMode.FULL, List.of(worker("w", Phase.SERVING)));
        for (int i = 0; i < 30; i++) {
            double now = 20_000 + 2_000 * i;
            logic.arrived(now, job("p" + i, 0, 1_000));
            assertThat(out.takeStartingWith("probe")).containsExactly("probe w");
            report(now + 1, 0, 4);
            logic.clientGone(now + 2, "p" + i);
            out.lines.clear();
        }
        assertThat(coldWorkerTakesALargeJob(100_000))
                .as("four slots may be sent 1,440")
                .isTrue();
    }

    /** Guards cold workers from one false report, which would raise the budget of all of its kind. */
    @Test
    void oneFalseReportDoesNotOpenColdWorkers() {
        logic.arrived(1, job("a", 0, 1_000));
        report(2, 0, 1e9);
        logic.clientGone(3, "a");
        out.lines.clear();
        assertThat(coldWorkerTakesALargeJob(10_000))
                .as("a quarter of what 2.2 slots may be sent is 792")
                .isFalse();
    }

    /** Guards a worker whose reports come late: each one that told of the room before our jobs came sent more there. */
    @Test
    void aLateReportDoesNotHideOnesOwnJobs() {
        int sent = 0;
        for (int i = 0; i < 12; i++) {
            double now = 10 + 600 * i;
            logic.arrived(now, job("a" + i, 0, 1_000));
            // Three slots, none of them taken: true when it was measured, before the first job came.
            logic.probed(now + 1, "w", Ending.OK, 1, new LoadReport(Double.NaN, 0, 500, Double.NaN, 3, Double.NaN));
            boolean went = out.lines.contains("assign a" + i + " w");
            sent += went ? 1 : 0;
            if (went) {
                logic.started(now + 2, "a" + i, 0, "w");
            }
            out.lines.clear();
        }
        assertThat(sent).isEqualTo(3);
    }

    private void begin(Dispatcher.Reports reports) {
        bench.reports = reports;
        logic = new Logic(bench.settings(), 7, out);
        logic.workers(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING)));
        out.lines.clear();
    }

    /** Guards fleets whose reports come with answers only, measured before most of what was sent: theta holds there. */
    @Test
    void whatComesWithAnswersSaysNothingOfRoom() {
        begin(Dispatcher.Reports.PIGGYBACK);
        logic.arrived(1, job("a", 0, 100));
        logic.started(2, "a", 0, "w");
        logic.ended(
                1_000,
                new Dispatcher.Outcome(
                        "a",
                        0,
                        "w",
                        Ending.OK,
                        1_000,
                        true,
                        new LoadReport(Double.NaN, 0, 500, Double.NaN, 9, Double.NaN)));
        out.lines.clear();
        for (int i = 0; i < 6; i++) {
            logic.arrived(1_001 + i, job("b" + i, 0, 100));
        }
        assertThat(out.takeStartingWith("assign")).hasSize(2);
        assertThat(out.lines).as("a probe would tell the same").noneMatch(l -> l.startsWith("probe"));
    }

    /** Guards classes whose late answers keep a part of their worth: while jobs wait, the fresh one goes first. */
    @Test
    void whatIsLateGivesWayToWhatCanBeInTime() {
        bench.classes = List.of(new Dispatcher.JobClass(
                "c", 400, 0, 9_000, Dispatcher.Effect.FREE, Dispatcher.Scope.ALL, 0, 1, 0.25, -1, 0));
        begin(Dispatcher.Reports.SILENT);
        for (String id : List.of("a", "b")) {
            logic.arrived(1, job(id, 0, 100));
            logic.started(2, id, 0, "w");
        }
        logic.arrived(10, job("old", 0, 100));
        logic.timer(600, 0);
        logic.arrived(1_000, job("new", 0, 100));
        out.lines.clear();
        logic.ended(1_001, outcome("a", 0, "w", Ending.OK));
        assertThat(out.takeStartingWith("assign")).containsExactly("assign new w");
        logic.ended(1_002, outcome("b", 0, "w", Ending.OK));
        assertThat(out.takeStartingWith("assign")).containsExactly("assign old w");
    }

    private void twoWorkers() {
        logic.workers(0, ListMode.FULL, List.of(worker("w", Phase.SERVING), worker("x", Phase.SERVING)));
    }

    /** Answers what is asked with one free slot on each worker, and returns where the job went. */
    private String placed(String id, int cls, double now) {
        logic.arrived(now, job(id, cls, 100));
        for (String asked :
                out.lines.stream().filter(l -> l.startsWith("probe ")).toList()) {
            logic.probed(
                    now + 1,
                    asked.substring("probe ".length()),
                    Ending.OK,
                    1,
                    new LoadReport(0, 0, 500, Double.NaN, 1, Double.NaN));
        }
        String line = out.takeStartingWith("assign " + id).get(0);
        return line.substring(line.lastIndexOf(' ') + 1);
    }

    /** Guards orders from a failing worker: each scheduler of a large fleet met it twice before it kept away. */
    @Test
    void oneErrorEjectsItsWorker() {
        twoWorkers();
        String bad = placed("a", 1, 1);
        logic.ended(300, outcome("a", 0, bad, Ending.ERROR));
        assertThat(logic.avoided(301)).isEqualTo(1);
        assertThat(placed("b", 0, 302)).isNotEqualTo(bad);
    }

    /** Guards against a worker that fails most jobs: a success between made it as good as new. */
    @Test
    void oneSuccessDoesNotClearManyErrors() {
        Ending[] endings = {Ending.ERROR, Ending.ERROR, Ending.ERROR, Ending.OK, Ending.ERROR};
        for (int i = 0; i < endings.length; i++) {
            double now = 1 + 20_000 * i;
            assertThat(placed("a" + i, 0, now)).isEqualTo("w");
            logic.ended(now + 100, outcome("a" + i, 0, "w", endings[i]));
            logic.clientGone(now + 100, "a" + i);
        }
        assertThat(logic.avoided(80_101 + 1_500))
                .as("a first error ejects for a second")
                .isEqualTo(1);
    }

    /** Guards orders from being what a failing worker is tried with again: rather another worker is asked. */
    @Test
    void anOrderAsksElsewhereThanAtAWorkerThatFailedLately() {
        firstJobStartsAtOnce("a", 1);
        logic.ended(100, outcome("a", 0, "w", Ending.ERROR));
        logic.clientGone(101, "a");
        firstJobStartsAtOnce("b", 20_000);
        logic.workers(20_010, ListMode.INCREMENTAL, List.of(worker("x", Phase.SERVING)));
        logic.arrived(20_011, job("o", 1, 100));
        assertThat(out.takeStartingWith("")).contains("probe x").noneMatch(l -> l.startsWith("assign"));
    }

    /** The same where nothing can be asked: with room on both, the one that failed comes last. */
    @Test
    void anOrderGoesLastToAWorkerThatFailedLately() {
        bench.reports = Dispatcher.Reports.SILENT;
        logic = new Logic(bench.settings(), 7, out);
        logic.workers(0, ListMode.SAVED, List.of(worker("w", Phase.SERVING), worker("x", Phase.SERVING)));
        logic.arrived(1, job("a", 1, 100));
        String bad = out.takeStartingWith("assign a").get(0).substring("assign a ".length());
        logic.ended(100, outcome("a", 0, bad, Ending.ERROR));
        for (int i = 0; i < 4; i++) {
            double now = 20_000 + 5_000 * i;
            logic.arrived(now, job("o" + i, 1, 100));
            assertThat(out.takeStartingWith("assign o")).noneMatch(l -> l.endsWith(" " + bad));
            logic.ended(now + 100, outcome("o" + i, 0, bad.equals("w") ? "x" : "w", Ending.OK));
        }
    }

    /** Where no other worker is left, an order goes to one that failed: better than not at all. */
    @Test
    void anOrderGoesToAWorkerThatFailedWhereThereIsNoOther() {
        logic.arrived(1, job("a", 0, 100));
        report(2, 1, 0);
        logic.ended(100, outcome("a", 0, "w", Ending.ERROR));
        out.lines.clear();
        logic.clientGone(101, "a");
        logic.arrived(20_000, job("o", 1, 100));
        for (int i = 0; i < 3 && out.lines.contains("probe w"); i++) {
            out.lines.clear();
            report(20_001 + 600 * i, 1, 0);
        }
        logic.timer(22_000, 0);
        assertThat(out.lines).contains("assign o w");
    }
}
