package plumpost.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static plumpost.decision.Bench.job;
import static plumpost.decision.Bench.outcome;
import static plumpost.decision.Bench.worker;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;

/** What a scheduler that may probe takes as evidence of a worker's room: reports, and what its own jobs saw. */
class EvidenceTest {
    private final Bench bench = new Bench();
    private final Recorder out = new Recorder();
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
        assertThat(out.take("probe")).containsExactly("probe w");
        report(now + 1, 1, 0);
        assertThat(out.take("assign")).containsExactly("assign " + id + " w");
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
        assertThat(out.take("")).contains("probe w").noneMatch(l -> l.startsWith("assign"));
    }

    /** Whether a job of 1,000 may go to a worker of the same kind, 5 s after its start: at 0.6 of its capacity. */
    private boolean coldWorkerTakesALargeJob(double now) {
        logic.workers(now, ListMode.FULL, List.of(worker("cold", 0, 0, now - 4_000)));
        logic.arrived(now + 1_000, job("large" + now, 0, 1_000));
        logic.probed(now + 1_001, "cold", Ending.OK, 1, new LoadReport(0, 0, 500, Double.NaN, 4, Double.NaN));
        boolean sent = out.take("assign").contains("assign large" + now + " cold");
        logic.clientGone(now + 1_002, "large" + now);
        return sent;
    }

    /** Guards cold workers' capacity: few jobs of one's own never showed more than theta slots. */
    @Test
    void slotsOfAKindAreLearnedFromReports() {
        assertThat(coldWorkerTakesALargeJob(10_000)).as("a quarter of what two slots may be sent is 720").isFalse();
        logic.workers(12_000, ListMode.FULL, List.of(worker("w", Phase.SERVING)));
        for (int i = 0; i < 30; i++) {
            double now = 20_000 + 2_000 * i;
            logic.arrived(now, job("p" + i, 0, 1_000));
            assertThat(out.take("probe")).containsExactly("probe w");
            report(now + 1, 0, 4);
            logic.clientGone(now + 2, "p" + i);
            out.lines.clear();
        }
        assertThat(coldWorkerTakesALargeJob(100_000)).as("four slots may be sent 1,440").isTrue();
    }
}
