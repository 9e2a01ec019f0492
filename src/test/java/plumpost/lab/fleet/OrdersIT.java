package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.lab.fleet.FleetLab.One;

/** Work in hand of real processes that are killed, stopped, cut off and told to end: another takes it over, once. */
@Timeout(300)
class OrdersIT extends FleetRig {
    private static final String COVERS = "\"covers\": [\"pickup-order\"], ";
    private static final int ANSWER_MS = 40_000;

    private void covered(String more) throws Exception {
        peersMore = COVERS + more;
        fleet(3, 0, 3, "");
    }

    /** Hands orders in, each again under its key until it is acknowledged. */
    private List<String> leave(One at, int n, String mark) throws Exception {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            String key = mark + i;
            until(key + " is taken", () -> Hands.leave(at, lab.history(), "order-it", key) != null);
            keys.add(key);
        }
        return keys;
    }

    private void hands(One at, int n, int workMs) {
        hands.add(new Hands(at, lab.history(), n, workMs, "order-it"));
    }

    /** Guards what a killed scheduler held: survivors take it over, each order by one, and share it. */
    @Test
    void whatAKilledSchedulerHeldRunsOnceElsewhere() throws Exception {
        covered("");
        One first = lab.all().get(0);
        List<String> keys = leave(first, 60, "o");
        assertThat(keys).hasSize(60);
        double killed = lab.history().nowMs();
        first.signal("KILL");
        hands(lab.all().get(1), 2, 1);
        hands(lab.all().get(2), 2, 1);
        eachOnce(keys);
        assertThat(lab.history().of("run").stream().map(History.Seen::who).distinct())
                .hasSize(2);
        assertThat(first.ended(PATIENCE_MS)).isTrue();
        first.start();
        joined(first, killed);
        hands(first, 1, 1);
        assertThat(Hands.call(first, lab.history(), "order-it", "o7", ANSWER_MS))
                .as("its outcome is known everywhere")
                .isEqualTo("WORK_COMPLETE");
        assertThat(keys).allSatisfy(k -> assertThat(runs(k)).as(k).isEqualTo(1));
    }

    /** Guards one scheduler alone with a disk: what it held when it was killed runs once when it is back. */
    @Test
    void oneAloneOutlivesItsProcess() throws Exception {
        peersMore = COVERS;
        fleet(1, 0, 1, "");
        One one = lab.all().get(0);
        List<String> keys = leave(one, 20, "d");
        assertThat(keys).hasSize(20);
        one.signal("KILL");
        assertThat(one.ended(PATIENCE_MS)).isTrue();
        double again = lab.history().nowMs();
        one.start();
        joined(one, again);
        hands(one, 1, 1);
        eachOnce(keys);
        assertThat(Hands.call(one, lab.history(), "order-it", "d3", ANSWER_MS)).isEqualTo("WORK_COMPLETE");
        assertThat(runs("d3")).isEqualTo(1);
    }

    /** Guards an order that a worker had when its scheduler was killed: it never runs again, and is answered once. */
    @Test
    void whatWasOutIsNotRunAgainAndIsGivenUp() throws Exception {
        covered("\"awaitMs\": 2000, ");
        One first = lab.all().get(0);
        One second = lab.all().get(1);
        hands(first, 1, 30_000);
        assertThat(leave(first, 1, "out")).hasSize(1);
        until("it runs", () -> runs("out0") == 1);
        first.signal("KILL");
        hands(second, 2, 1);
        assertThat(Hands.call(second, lab.history(), "order-it", "out0", ANSWER_MS))
                .isEqualTo("WORK_FAIL");
        assertThat(Hands.call(lab.all().get(2), lab.history(), "order-it", "out0", ANSWER_MS))
                .isEqualTo("WORK_FAIL");
        assertThat(runs("out0")).isEqualTo(1);
        until(
                "new ones run",
                () -> "WORK_COMPLETE".equals(Hands.call(second, lab.history(), "order-it", "new", ANSWER_MS)));
    }

    /** Guards a worker that reports at another scheduler: who waits there is answered with its result. */
    @Test
    void aWorkerThatReportsElsewhereIsHeard() throws Exception {
        covered("");
        One first = lab.all().get(0);
        One second = lab.all().get(1);
        try (Peer worker = new Peer(first.gearman(), 20_000)) {
            worker.send(Type.CAN_DO, "order-it");
            CompletableFuture<String> answer =
                    CompletableFuture.supplyAsync(() -> Hands.leave(first, lab.history(), "order-it", "far"));
            Packet got;
            do {
                worker.send(Type.GRAB_JOB);
                got = worker.next();
                if (got.type() == Type.NO_JOB) {
                    worker.send(Type.PRE_SLEEP);
                    got = worker.next();
                }
            } while (got.type() != Type.JOB_ASSIGN);
            assertThat(answer.get(10, TimeUnit.SECONDS)).isEqualTo(got.text(0));
            first.signal("KILL");
            CompletableFuture<String> waits = CompletableFuture.supplyAsync(
                    () -> Hands.call(second, lab.history(), "order-it", "far", ANSWER_MS));
            try (Peer again = new Peer(second.gearman(), 20_000)) {
                again.send(Type.WORK_COMPLETE, got.text(0), "done far away");
                assertThat(waits.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
            }
        }
        assertThat(Hands.call(lab.all().get(2), lab.history(), "order-it", "far", ANSWER_MS))
                .isEqualTo("WORK_COMPLETE");
    }

    /** Guards two clients with one key at two schedulers at once: one order, which runs where a worker is, answers both. */
    @Test
    void oneKeyAtTwoSchedulersIsOneOrder() throws Exception {
        covered("");
        hands(lab.all().get(2), 2, 50);
        for (int i = 0; i < 5; i++) {
            String key = "same" + i;
            CompletableFuture<String> one = CompletableFuture.supplyAsync(
                    () -> Hands.call(lab.all().get(0), lab.history(), "order-it", key, ANSWER_MS));
            assertThat(Hands.call(lab.all().get(1), lab.history(), "order-it", key, ANSWER_MS))
                    .isEqualTo("WORK_COMPLETE");
            assertThat(one.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
            assertThat(runs(key)).isEqualTo(1);
        }
    }

    /** Guards the cut: without the majority nothing covered is taken or handed out, and it says so at once. */
    @Test
    void withoutTheMajorityNothingCoveredIsTakenOrHandedOut() throws Exception {
        covered("");
        One cut = lab.all().get(0);
        One other = lab.all().get(1);
        List<String> keys = leave(cut, 10, "c");
        double at = lab.history().nowMs();
        lab.cutOff(cut.name(), true, true, true);
        said(cut, at, "does no fleet duty and serves on by itself");
        hands(cut, 2, 1);
        assertThat(Hands.leave(cut, lab.history(), "order-it", "refused")).isNull();
        hands(other, 2, 1);
        eachOnce(keys);
        assertThat(lab.history().of("run")).allMatch(s -> s.who().equals(other.name()));
        double healed = lab.history().nowMs();
        lab.cutOff(cut.name(), true, true, false);
        joined(cut, healed);
        until("it takes orders again", () -> Hands.leave(cut, lab.history(), "order-it", "after") != null);
        eachOnce(List.of("after"));
        assertThat(keys).allSatisfy(k -> assertThat(runs(k)).as(k).isEqualTo(1));
    }

    /** Guards SIGTERM: what is not handed out is another's at once, what is out is finished, and nothing runs twice. */
    @Test
    void aRollingRestartLosesNothingAndRunsNothingTwice() throws Exception {
        covered("");
        List<String> keys = new ArrayList<>();
        for (One o : lab.all()) {
            keys.addAll(leave(o, 10, "t-" + o.name() + "-"));
        }
        hands(lab.all().get(0), 1, 100);
        hands(lab.all().get(1), 1, 100);
        for (One o : lab.all()) {
            double at = lab.history().nowMs();
            o.signal("TERM");
            assertThat(o.ended(PATIENCE_MS)).isTrue();
            o.start();
            joined(o, at);
            keys.addAll(leave(o, 3, "n-" + o.name() + "-"));
        }
        assertThat(keys).hasSize(39);
        eachOnce(keys);
    }

    /** Guards every boundary of an order's life: its holder is killed, or stopped and woken, just there. */
    @Test
    void whoeverEndsAtABoundaryLeavesTheOrderOnce() throws Exception {
        covered("\"awaitMs\": 1000, ");
        One other = lab.all().get(1);
        int round = 0;
        for (String place : List.of("before Take", "after Take", "before Told", "after Told")) {
            for (String fault : List.of("KILL", "STOP")) {
                One victim = lab.all().get(0);
                String key = "b" + round++;
                Hands mine = new Hands(victim, lab.history(), 1, 1, "order-it");
                hands.add(mine);
                double at = lab.history().nowMs();
                victim.halt(place, true);
                CompletableFuture<String> left =
                        CompletableFuture.supplyAsync(() -> Hands.leave(victim, lab.history(), "order-it", key));
                said(victim, at, "halts " + place);
                victim.signal(fault);
                said(other, at, victim.name() + ", incarnation ");
                victim.halt(place, false);
                Hands theirs = new Hands(other, lab.history(), 1, 1, "order-it");
                hands.add(theirs);
                double woken = lab.history().nowMs();
                if (fault.equals("KILL")) {
                    assertThat(victim.ended(PATIENCE_MS)).isTrue();
                    victim.start();
                } else {
                    victim.signal("CONT");
                }
                joined(victim, woken);
                left.get(60, TimeUnit.SECONDS);
                String answer = Hands.call(other, lab.history(), "order-it", key, ANSWER_MS);
                assertThat(answer).as(place + ", " + fault).isIn("WORK_COMPLETE", "WORK_FAIL");
                assertThat(runs(key)).as(place + ", " + fault).isLessThanOrEqualTo(1);
                assertThat(Hands.call(lab.all().get(2), lab.history(), "order-it", key, ANSWER_MS))
                        .as("one final answer")
                        .isEqualTo(answer);
                mine.close();
                theirs.close();
            }
        }
    }
}
