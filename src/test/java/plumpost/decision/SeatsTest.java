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

/** Lanes by kind of work, seats whose places are known, and priorities. */
class SeatsTest {
    private final RecordingActions out = new RecordingActions();
    private final Logic logic = new Logic(new TestSettings().settings(), 1, out);

    private void seat(String id, Phase phase, int... kinds) {
        BitSet runs = new BitSet();
        for (int k : kinds) {
            runs.set(k);
        }
        logic.workers(0, ListMode.INCREMENTAL, List.of(new WorkerEntry(id, 0, 0, 0, phase, 1, 0, runs, 1)));
    }

    private void arrive(double t, String id, int work, int priority) {
        logic.arrived(t, new Job(id, 0, 0, null, 5000, Double.NaN, 1, Double.NaN, false, work, priority, 60_000));
    }

    /** Guards that a seat has one job and is never asked for what is known. */
    @Test
    void aSeatGetsOneJobAtATimeAndNoProbe() {
        seat("w", Phase.SERVING, 7);
        arrive(1, "a", 7, 0);
        arrive(2, "b", 7, 0);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign a w");
        logic.started(3, "a", 0, "w");
        logic.ended(4, outcome("a", 0, "w", Ending.OK));
        assertThat(out.takeStartingWith("assign")).containsExactly("assign b w");
        assertThat(out.lines).noneMatch(l -> l.startsWith("probe"));
    }

    /** Guards other work from work that nobody runs: many held jobs of one kind hold up no other. */
    @Test
    void workThatNobodyRunsHoldsUpNoOther() {
        for (int i = 0; i < 100; i++) {
            arrive(1, "held" + i, 8, 0);
        }
        seat("w", Phase.SERVING, 7);
        arrive(2, "a", 7, 0);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign a w");
        seat("v", Phase.SERVING, 8);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign held0 v");
    }

    /** Guards that a job goes to a seat that came free lately, which is awake, and not to the one that slept longest. */
    @Test
    void aSeatThatCameFreeLatelyIsTaken() {
        int seats = Logic.MAX_DEDICATED_WORKERS_EXAMINED + 4;
        for (int i = 0; i < seats; i++) {
            seat("w" + i, Phase.SERVING, 7);
        }
        for (int i = 0; i < seats; i++) {
            arrive(1, "j" + i, 7, 0);
        }
        List<String> sent = out.takeStartingWith("assign");
        assertThat(sent).hasSize(seats);
        List<String> freed =
                sent.stream().map(l -> l.substring(l.lastIndexOf(' ') + 1)).toList();
        for (int i = 0; i < seats; i++) {
            logic.started(2, "j" + i, 0, freed.get(i));
            logic.ended(3, outcome("j" + i, 0, freed.get(i), Ending.OK));
        }
        arrive(5, "next", 7, 0);
        String taken = out.takeStartingWith("assign next").get(0).substring("assign next ".length());
        assertThat(freed.subList(4, seats)).contains(taken);
    }

    /** Guards priorities: a step is worth 2 s of age, no more, so that nothing starves. */
    @Test
    void aStepOfPriorityIsWorthTwoSecondsOfAge() {
        arrive(0, "old", 7, 0);
        arrive(1900, "high", 7, 1);
        arrive(2100, "low", 7, -1);
        arrive(2100, "late", 7, 1);
        seat("w", Phase.SERVING, 7);
        for (String next : List.of("high", "old", "late", "low")) {
            assertThat(out.takeStartingWith("assign")).containsExactly("assign " + next + " w");
            logic.started(2200, next, 0, "w");
            logic.ended(2200, outcome(next, 0, "w", Ending.OK));
        }
    }

    /** Guards a job's own failure from being tried again, and its worker from being blamed for it. */
    @Test
    void aSeatsWordThatTheJobFailedIsItsEnd() {
        seat("w", Phase.SERVING, 7);
        for (int i = 0; i < 5; i++) {
            arrive(1, "a" + i, 7, 0);
            assertThat(out.takeStartingWith("assign")).containsExactly("assign a" + i + " w");
            logic.started(2, "a" + i, 0, "w");
            logic.ended(3, outcome("a" + i, 0, "w", Ending.ERROR));
            assertThat(out.takeStartingWith("fail")).containsExactly("fail a" + i);
        }
    }

    /** Guards a lost seat: what may be repeated goes to another, nothing goes to the lost one, and it is forgotten. */
    @Test
    void whatALostSeatHadGoesToAnother() {
        seat("w", Phase.SERVING, 7);
        arrive(1, "a", 7, 0);
        out.lines.clear();
        seat("v", Phase.SERVING, 7);
        seat("w", Phase.DELETED, 7);
        logic.ended(2, outcome("a", 0, "w", Ending.RESET));
        assertThat(out.takeStartingWith("assign")).containsExactly("assign a v");
        arrive(3, "b", 7, 0);
        assertThat(out.takeStartingWith("assign")).isEmpty();
    }

    /** Guards a seat whose functions change while it is free. */
    @Test
    void aSeatIsFreeOnlyForWhatItRuns() {
        seat("w", Phase.SERVING, 7, 8);
        seat("w", Phase.SERVING, 8);
        arrive(1, "a", 7, 0);
        assertThat(out.takeStartingWith("assign")).isEmpty();
        arrive(1, "b", 8, 0);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign b w");
        seat("v", Phase.SERVING, 7);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign a v");
        seat("x", Phase.DRAINING, 7);
        arrive(2, "c", 7, 0);
        assertThat(out.takeStartingWith("assign")).isEmpty();
    }

    /** Guards that a job with an aim of its own is not given up for its class's: one in the background waits. */
    @Test
    void aJobWithAnAimOfItsOwnIsKeptByIt() {
        logic.arrived(0, new Job("bg", 0, 0, null, 60_000, Double.NaN, 1, Double.NaN, false, 7, 0, 60_000));
        for (double t = 80; t < 20_000; t += 80) {
            logic.timer(t, 0);
        }
        assertThat(out.lines).noneMatch(l -> l.startsWith("refuse") || l.startsWith("fail"));
        seat("w", Phase.SERVING, 7);
        assertThat(out.takeStartingWith("assign")).containsExactly("assign bg w");
    }

    /** Guards orders for a Gearman worker beside probed nodes: nothing can be asked of a seat, so none waits for that. */
    @Test
    void anOrderDoesNotWaitToAskASeatThatFailed() {
        TestSettings bench = new TestSettings();
        bench.reports = Dispatcher.Reports.PULL;
        Logic probing = new Logic(bench.settings(), 1, out);
        BitSet runs = new BitSet();
        runs.set(7);
        probing.workers(0, ListMode.INCREMENTAL, List.of(new WorkerEntry("w", 0, 0, 0, Phase.SERVING, 1, 0, runs, 1)));
        for (int i = 0; i < 2; i++) {
            double now = 1 + 20_000 * i;
            probing.arrived(now, new Job("o" + i, 1, 0, null, 5000, Double.NaN, 1, Double.NaN, false, 7, 0, 60_000));
            assertThat(out.takeStartingWith("assign")).containsExactly("assign o" + i + " w");
            probing.ended(now + 10, outcome("o" + i, 0, "w", Ending.RESET));
        }
    }
}
