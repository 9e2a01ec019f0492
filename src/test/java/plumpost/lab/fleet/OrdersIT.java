package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.gearman.Packet;
import plumpost.gearman.Packet.Type;
import plumpost.lab.fleet.FleetLab.SchedulerProcess;

/** Takeover of the open orders of real processes that are killed, stopped, cut off or terminated; none runs twice. */
@Timeout(300)
class OrdersIT extends FleetTestBase {
    private static final String COVERS = "\"covers\": [\"pickup-order\"], ";
    private static final int ANSWER_TIMEOUT_MS = 40_000;
    /** A proposal that is not answered within this time is given up by the engine; with a majority it is answered. */
    private static final double PROPOSAL_TIMEOUT_MS = 8_000;

    private void startCoveringFleet(String more) throws Exception {
        extraPeerSettings = COVERS + more;
        startFleet(3, 0, 3, "");
    }

    /** Submits background orders, each again under its key until it is acknowledged; returns the keys. */
    private List<String> submitOrders(SchedulerProcess scheduler, int count, String keyPrefix) throws Exception {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = keyPrefix + i;
            awaitUntil(
                    key + " is taken",
                    () -> LabWorkers.submitBackground(scheduler, lab.history(), "order-it", key) != null);
            keys.add(key);
        }
        return keys;
    }

    private void addWorkers(SchedulerProcess scheduler, int count, int workMs) {
        workers.add(new LabWorkers(scheduler, lab.history(), count, workMs, "order-it"));
    }

    /** Guards the open orders of a killed scheduler: the survivors share them, and each runs once. */
    @Test
    void whatAKilledSchedulerHeldRunsOnceElsewhere() throws Exception {
        startCoveringFleet("");
        SchedulerProcess first = lab.processes().get(0);
        List<String> keys = submitOrders(first, 60, "o");
        assertThat(keys).hasSize(60);
        double killedAtMs = lab.history().nowMs();
        first.signal("KILL");
        addWorkers(lab.processes().get(1), 2, 1);
        addWorkers(lab.processes().get(2), 2, 1);
        assertEachRanOnce(keys);
        assertThat(lab.history().ofKind("run").stream()
                        .map(History.Event::source)
                        .distinct())
                .hasSize(2);
        assertThat(first.awaitExit(TIMEOUT_MS)).isTrue();
        first.start();
        awaitJoined(first, killedAtMs);
        addWorkers(first, 1, 1);
        assertThat(LabWorkers.submitAndWait(first, lab.history(), "order-it", "o7", ANSWER_TIMEOUT_MS))
                .as("its outcome is known everywhere")
                .isEqualTo("WORK_COMPLETE");
        assertThat(keys).allSatisfy(k -> assertThat(runCount(k)).as(k).isEqualTo(1));
    }

    /** Guards a single scheduler with a disk: the orders open when it was killed run once after its restart. */
    @Test
    void oneAloneOutlivesItsProcess() throws Exception {
        extraPeerSettings = COVERS;
        startFleet(1, 0, 1, "");
        SchedulerProcess scheduler = lab.processes().get(0);
        List<String> keys = submitOrders(scheduler, 20, "d");
        assertThat(keys).hasSize(20);
        scheduler.signal("KILL");
        assertThat(scheduler.awaitExit(TIMEOUT_MS)).isTrue();
        double restartedAtMs = lab.history().nowMs();
        scheduler.start();
        awaitJoined(scheduler, restartedAtMs);
        addWorkers(scheduler, 1, 1);
        assertEachRanOnce(keys);
        assertThat(LabWorkers.submitAndWait(scheduler, lab.history(), "order-it", "d3", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_COMPLETE");
        assertThat(runCount("d3")).isEqualTo(1);
    }

    /** Guards an order that a worker had when its scheduler was killed: it never runs again and is answered as failed. */
    @Test
    void whatWasOutIsNotRunAgainAndIsGivenUp() throws Exception {
        startCoveringFleet("\"awaitMs\": 2000, ");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        addWorkers(first, 1, 30_000);
        assertThat(submitOrders(first, 1, "out")).hasSize(1);
        awaitUntil("it runs", () -> runCount("out0") == 1);
        first.signal("KILL");
        addWorkers(second, 2, 1);
        assertThat(LabWorkers.submitAndWait(second, lab.history(), "order-it", "out0", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_FAIL");
        assertThat(LabWorkers.submitAndWait(
                        lab.processes().get(2), lab.history(), "order-it", "out0", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_FAIL");
        assertThat(runCount("out0")).isEqualTo(1);
        awaitUntil(
                "new ones run",
                () -> "WORK_COMPLETE"
                        .equals(LabWorkers.submitAndWait(second, lab.history(), "order-it", "new", ANSWER_TIMEOUT_MS)));
    }

    /** Guards a worker that reports to another scheduler: the client that waits there gets its result. */
    @Test
    void aWorkerThatReportsElsewhereIsHeard() throws Exception {
        startCoveringFleet("");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        try (GearmanConnection worker = new GearmanConnection(first.gearmanPort(), 20_000)) {
            worker.send(Type.CAN_DO, "order-it");
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> LabWorkers.submitBackground(first, lab.history(), "order-it", "far"));
            Packet packet;
            do {
                worker.send(Type.GRAB_JOB);
                packet = worker.next();
                if (packet.type() == Type.NO_JOB) {
                    worker.send(Type.PRE_SLEEP);
                    packet = worker.next();
                }
            } while (packet.type() != Type.JOB_ASSIGN);
            assertThat(answer.get(10, TimeUnit.SECONDS)).isEqualTo(packet.text(0));
            first.signal("KILL");
            CompletableFuture<String> result = CompletableFuture.supplyAsync(
                    () -> LabWorkers.submitAndWait(second, lab.history(), "order-it", "far", ANSWER_TIMEOUT_MS));
            try (GearmanConnection reconnected = new GearmanConnection(second.gearmanPort(), 20_000)) {
                reconnected.send(Type.WORK_COMPLETE, packet.text(0), "done far away");
                assertThat(result.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
            }
        }
        assertThat(LabWorkers.submitAndWait(
                        lab.processes().get(2), lab.history(), "order-it", "far", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_COMPLETE");
    }

    /** Guards against two orders for one key: two clients at two schedulers get the answer of one run at a third. */
    @Test
    void oneKeyAtTwoSchedulersIsOneOrder() throws Exception {
        startCoveringFleet("");
        addWorkers(lab.processes().get(2), 2, 50);
        for (int i = 0; i < 5; i++) {
            String key = "same" + i;
            CompletableFuture<String> one = CompletableFuture.supplyAsync(() -> LabWorkers.submitAndWait(
                    lab.processes().get(0), lab.history(), "order-it", key, ANSWER_TIMEOUT_MS));
            assertThat(LabWorkers.submitAndWait(
                            lab.processes().get(1), lab.history(), "order-it", key, ANSWER_TIMEOUT_MS))
                    .isEqualTo("WORK_COMPLETE");
            assertThat(one.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
            assertThat(runCount(key)).isEqualTo(1);
        }
    }

    /** Guards against work without a majority: a scheduler cut off refuses covered orders at once and hands none out. */
    @Test
    void withoutTheMajorityNothingCoveredIsTakenOrHandedOut() throws Exception {
        startCoveringFleet("");
        SchedulerProcess cut = lab.processes().get(0);
        SchedulerProcess other = lab.processes().get(1);
        List<String> keys = submitOrders(cut, 10, "c");
        double cutAtMs = lab.history().nowMs();
        lab.cutOff(cut.name(), true, true, true);
        awaitLogLine(cut, cutAtMs, "does no fleet duty and serves on by itself");
        addWorkers(cut, 2, 1);
        assertThat(LabWorkers.submitBackground(cut, lab.history(), "order-it", "refused"))
                .isNull();
        assertRefused("refused");
        addWorkers(other, 2, 1);
        assertEachRanOnce(keys);
        assertThat(lab.history().ofKind("run")).allMatch(event -> event.source().equals(other.name()));
        double healedAtMs = lab.history().nowMs();
        lab.cutOff(cut.name(), true, true, false);
        awaitJoined(cut, healedAtMs);
        awaitUntil(
                "it takes orders again",
                () -> LabWorkers.submitBackground(cut, lab.history(), "order-it", "after") != null);
        assertEachRanOnce(List.of("after"));
        assertThat(keys).allSatisfy(k -> assertThat(runCount(k)).as(k).isEqualTo(1));
    }

    /**
     * Guards a scheduled order whose scheduler is killed while it runs: submitted again under its key it is the same order, in
     * any way. The fleet's schedule forgot the key of a job that it gave up, and the order ran again.
     */
    @Test
    void aScheduledOrderIsKnownUnderItsKeyAfterItsSchedulerIsKilled() throws Exception {
        startCoveringFleet("\"awaitMs\": 2000, ");
        awaitUntil("the ledger takes start times", () -> writtenFormat() == 2);
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        addWorkers(first, 1, 30_000);
        long startAtS = System.currentTimeMillis() / 1000 + 1;
        String handle = LabWorkers.submitScheduled(first, lab.history(), "order-it", "van", startAtS);
        assertThat(handle).isNotNull();
        awaitUntil("it runs", () -> runCount("van") == 1);
        double killedAtMs = lab.history().nowMs();
        first.signal("KILL");
        awaitLogLine(second, killedAtMs, "s1, incarnation ");
        addWorkers(second, 2, 1);
        assertThat(LabWorkers.submitScheduled(second, lab.history(), "order-it", "van", startAtS))
                .isEqualTo(handle);
        assertThat(LabWorkers.submitBackground(lab.processes().get(2), lab.history(), "order-it", "van"))
                .isEqualTo(handle);
        assertThat(LabWorkers.submitAndWait(second, lab.history(), "order-it", "van", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_FAIL");
        assertThat(LabWorkers.submitScheduled(second, lab.history(), "order-it", "van", startAtS))
                .as("after it was given up")
                .isEqualTo(handle);
        assertEachRanOnce(submitOrders(second, 1, "behind"));
        assertThat(runCount("van")).isEqualTo(1);
    }

    /** Guards a scheduled order that its client submits at once under the same key: it runs once, at its time. */
    @Test
    void anOrderScheduledAndSubmittedAtOnceIsOneOrder() throws Exception {
        startCoveringFleet("");
        awaitUntil("the ledger takes start times", () -> writtenFormat() == 2);
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        addWorkers(second, 2, 1);
        long startAtS = System.currentTimeMillis() / 1000 + 4;
        String handle = LabWorkers.submitScheduled(first, lab.history(), "order-it", "van", startAtS);
        assertThat(handle).isNotNull();
        assertThat(LabWorkers.submitAndWait(first, lab.history(), "order-it", "van", ANSWER_TIMEOUT_MS))
                .as("nobody can wait for it")
                .isEqualTo("ERROR");
        awaitUntil(
                "it is known elsewhere",
                () -> handle.equals(LabWorkers.submitBackground(second, lab.history(), "order-it", "van")));
        assertThat(LabWorkers.submitBackground(first, lab.history(), "order-it", "van"))
                .isEqualTo(handle);
        assertThat(runCount("van")).isZero();
        assertEachRanOnce(List.of("van"));
        assertThat(System.currentTimeMillis() / 1000).isGreaterThanOrEqualTo(startAtS);
        assertThat(LabWorkers.submitAndWait(first, lab.history(), "order-it", "van", ANSWER_TIMEOUT_MS))
                .as("its outcome is kept")
                .isEqualTo("WORK_COMPLETE");
        assertThat(runCount("van")).isEqualTo(1);
    }

    /** Submits an order without a key in the foreground; returns the type of the first answer. */
    private static Type submitWithoutKey(SchedulerProcess scheduler, String payload) throws IOException {
        try (GearmanConnection client = new GearmanConnection(scheduler.gearmanPort(), ANSWER_TIMEOUT_MS)) {
            client.send(Type.SUBMIT_JOB, "order-it", "", payload);
            Packet answer = client.next();
            while (answer.type() == Type.JOB_CREATED) {
                answer = client.next();
            }
            if (answer.type() == Type.ERROR) {
                // With a majority the outcome becomes known in time, so that only what was not proposed is refused.
                assertThat(answer.text(1)).as(payload).contains("try again after");
            }
            return answer.type();
        }
    }

    /**
     * Guards orders without a key that are submitted while the leader is silent. Their clients were told an error and to try
     * again while the fleet still agreed on the first submission, and both ran.
     */
    @Test
    void anOrderSubmittedWhileTheLeaderIsSilentRunsOnce() throws Exception {
        startCoveringFleet("");
        SchedulerProcess leader = lab.process(showFleet().text("leader"));
        List<SchedulerProcess> others =
                lab.processes().stream().filter(p -> p != leader).toList();
        others.forEach(process -> addWorkers(process, 2, 10));
        assertThat(submitWithoutKey(others.get(0), "before")).isEqualTo(Type.WORK_COMPLETE);
        leader.signal("STOP");
        List<String> payloads = payloads("silent");
        submitTogether(others.get(0), payloads);
        leader.signal("CONT");
        submitUntilAccepted(others.get(0), "after"); // behind everything that was proposed before
        assertEachRanOnce(payloads);
        assertThat(runCount("after")).isEqualTo(1);
    }

    /**
     * Guards proposals while the old leader stays silent: they reach the new one. The engine's client waited for seconds to close
     * its connection to the silent member, chose the next one at random and reset connections that other calls used, so that
     * orders were agreed on after 15 s.
     */
    @Test
    void proposalsReachTheNewLeaderWhileTheOldOneIsSilent() throws Exception {
        startCoveringFleet("");
        SchedulerProcess leader = lab.process(showFleet().text("leader"));
        SchedulerProcess other =
                lab.processes().stream().filter(p -> p != leader).findFirst().orElseThrow();
        addWorkers(other, 2, 1);
        assertThat(submitWithoutKey(other, "before")).isEqualTo(Type.WORK_COMPLETE);
        double stoppedAtMs = lab.history().nowMs();
        leader.signal("STOP");
        submitTogether(other, payloads("silent"));
        assertThat(lab.history().nowMs() - stoppedAtMs)
                .as("ms until all were agreed on and ran")
                .isLessThan(PROPOSAL_TIMEOUT_MS);
        leader.signal("CONT");
    }

    private static List<String> payloads(String prefix) {
        return IntStream.range(0, 12).mapToObj(i -> prefix + i).toList();
    }

    /** Submits orders without a key from as many clients, each again until it is accepted, and waits for their answers. */
    private static void submitTogether(SchedulerProcess scheduler, List<String> payloads) throws Exception {
        List<CompletableFuture<Void>> clients = payloads.stream()
                .map(payload -> CompletableFuture.runAsync(() -> submitUntilAccepted(scheduler, payload)))
                .toList();
        for (CompletableFuture<Void> client : clients) {
            client.get(60, TimeUnit.SECONDS);
        }
    }

    private static void submitUntilAccepted(SchedulerProcess scheduler, String payload) {
        try {
            awaitUntil(payload + " is accepted", () -> submitWithoutKey(scheduler, payload) != Type.ERROR);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards SIGTERM: waiting orders move to another scheduler at once, running ones finish, and none runs twice. */
    @Test
    void aRollingRestartLosesNothingAndRunsNothingTwice() throws Exception {
        startCoveringFleet("");
        List<String> keys = new ArrayList<>();
        for (SchedulerProcess process : lab.processes()) {
            keys.addAll(submitOrders(process, 10, "t-" + process.name() + "-"));
        }
        addWorkers(lab.processes().get(0), 1, 100);
        addWorkers(lab.processes().get(1), 1, 100);
        for (SchedulerProcess process : lab.processes()) {
            double signalledAtMs = lab.history().nowMs();
            process.signal("TERM");
            assertThat(process.awaitExit(TIMEOUT_MS)).isTrue();
            process.start();
            awaitJoined(process, signalledAtMs);
            keys.addAll(submitOrders(process, 3, "n-" + process.name() + "-"));
        }
        assertThat(keys).hasSize(39);
        assertEachRanOnce(keys);
    }

    /**
     * Guards clients that wait for orders at a scheduler which is told to stop: each gets its one final answer before the process
     * ends, by itself, also for orders that went elsewhere. The process ended as soon as its own core was idle.
     */
    @Test
    void clientsOfAStoppedSchedulerAreAnsweredBeforeItEnds() throws Exception {
        startCoveringFleet("");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        addWorkers(second, 2, 1500);
        assertThat(submitWithoutKey(second, "warm up")).isEqualTo(Type.WORK_COMPLETE);
        List<CompletableFuture<String>> answers = Stream.of("moved1", "moved2")
                .map(key -> CompletableFuture.supplyAsync(
                        () -> LabWorkers.submitAndWait(first, lab.history(), "order-it", key, ANSWER_TIMEOUT_MS)))
                .toList();
        awaitUntil("both are taken", () -> lab.history().ofKind("joined").size() >= 2);
        first.signal("TERM");
        for (CompletableFuture<String> answer : answers) {
            assertThat(answer.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
        }
        assertThat(first.awaitExit(TIMEOUT_MS)).as("it ends by itself").isTrue();
        assertEachRanOnce(List.of("moved1", "moved2"));
    }

    /** Guards a client whose order nobody runs before its scheduler must end: it is told so, and can join the order elsewhere. */
    @Test
    void aClientOfAStoppedSchedulerCanJoinItsOrderElsewhere() throws Exception {
        startCoveringFleet("");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                () -> LabWorkers.submitAndWait(first, lab.history(), "order-it", "van", ANSWER_TIMEOUT_MS));
        awaitUntil("it is taken", () -> !lab.history().ofKind("joined").isEmpty());
        double signalledAtMs = lab.history().nowMs();
        first.signal("TERM");
        assertThat(answer.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_FAIL");
        assertThat(lab.history().nowMs() - signalledAtMs)
                .as("before SIGKILL may come")
                .isLessThan(3_700);
        assertThat(first.awaitExit(TIMEOUT_MS)).isTrue();
        CompletableFuture<String> joined = CompletableFuture.supplyAsync(
                () -> LabWorkers.submitAndWait(second, lab.history(), "order-it", "van", ANSWER_TIMEOUT_MS));
        awaitUntil("it is joined", () -> lab.history().ofKind("joined").size() == 2);
        addWorkers(second, 1, 1);
        assertThat(joined.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_COMPLETE");
        assertThat(runCount("van")).isEqualTo(1);
    }

    /** Guards clients of a scheduler that is told to stop while the fleet has no leader: they are answered before SIGKILL. */
    @Test
    void clientsOfAMemberWithoutALeaderAreAnsweredBeforeItEnds() throws Exception {
        startCoveringFleet("");
        SchedulerProcess first = lab.processes().get(0);
        SchedulerProcess second = lab.processes().get(1);
        SchedulerProcess third = lab.processes().get(2);
        CompletableFuture<String> taken = CompletableFuture.supplyAsync(
                () -> LabWorkers.submitAndWait(first, lab.history(), "order-it", "taken", ANSWER_TIMEOUT_MS));
        awaitUntil("it is taken", () -> !lab.history().ofKind("joined").isEmpty());
        second.signal("STOP");
        third.signal("STOP");
        CompletableFuture<String> untaken = CompletableFuture.supplyAsync(
                () -> LabWorkers.submitAndWait(first, lab.history(), "order-it", "untaken", ANSWER_TIMEOUT_MS));
        double signalledAtMs = lab.history().nowMs();
        first.signal("TERM");
        assertThat(taken.get(60, TimeUnit.SECONDS)).isEqualTo("WORK_FAIL");
        assertThat(untaken.get(60, TimeUnit.SECONDS)).isNotEqualTo("WORK_COMPLETE");
        assertThat(lab.history().nowMs() - signalledAtMs)
                .as("before SIGKILL may come")
                .isLessThan(3_700);
        second.signal("CONT");
        third.signal("CONT");
        assertThat(first.awaitExit(TIMEOUT_MS)).isTrue();
        addWorkers(second, 1, 1);
        assertThat(LabWorkers.submitAndWait(second, lab.history(), "order-it", "taken", ANSWER_TIMEOUT_MS))
                .isEqualTo("WORK_COMPLETE");
        assertThat(runCount("taken")).isEqualTo(1);
    }

    /** Guards every boundary in an order's life cycle: its holder is killed, or stopped and continued, exactly there. */
    @Test
    void whoeverEndsAtABoundaryLeavesTheOrderOnce() throws Exception {
        startCoveringFleet("\"awaitMs\": 1000, ");
        SchedulerProcess other = lab.processes().get(1);
        int round = 0;
        for (String boundary : List.of("before Take", "after Take", "before Told", "after Told")) {
            for (String fault : List.of("KILL", "STOP")) {
                SchedulerProcess victim = lab.processes().get(0);
                String key = "b" + round++;
                LabWorkers victimWorkers = new LabWorkers(victim, lab.history(), 1, 1, "order-it");
                workers.add(victimWorkers);
                double startedAtMs = lab.history().nowMs();
                victim.setHalt(boundary, true);
                CompletableFuture<String> submission = CompletableFuture.supplyAsync(
                        () -> LabWorkers.submitBackground(victim, lab.history(), "order-it", key));
                awaitLogLine(victim, startedAtMs, "halts " + boundary);
                victim.signal(fault);
                awaitLogLine(other, startedAtMs, victim.name() + ", incarnation ");
                victim.setHalt(boundary, false);
                LabWorkers otherWorkers = new LabWorkers(other, lab.history(), 1, 1, "order-it");
                workers.add(otherWorkers);
                double continuedAtMs = lab.history().nowMs();
                if (fault.equals("KILL")) {
                    assertThat(victim.awaitExit(TIMEOUT_MS)).isTrue();
                    victim.start();
                } else {
                    victim.signal("CONT");
                }
                awaitJoined(victim, continuedAtMs);
                submission.get(60, TimeUnit.SECONDS);
                String answer = LabWorkers.submitAndWait(other, lab.history(), "order-it", key, ANSWER_TIMEOUT_MS);
                assertThat(answer).as(boundary + ", " + fault).isIn("WORK_COMPLETE", "WORK_FAIL");
                assertThat(runCount(key)).as(boundary + ", " + fault).isLessThanOrEqualTo(1);
                assertThat(LabWorkers.submitAndWait(
                                lab.processes().get(2), lab.history(), "order-it", key, ANSWER_TIMEOUT_MS))
                        .as("one final answer")
                        .isEqualTo(answer);
                victimWorkers.close();
                otherWorkers.close();
            }
        }
    }
}
