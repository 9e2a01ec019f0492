package plumpost.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.Scenario;
import plumpost.config.Json;
import plumpost.config.SettingsReader;
import plumpost.count.Counters;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.time.TimerWheel;

/** Tests that the core rejects actions that break a rule. The test requests them in place of the decision module. */
class RuleGuardTest {
    private static final int FREE_CLASS = 0;
    private static final int SINGLE_SHOT_CLASS = 1;

    private final List<Attempt> sent = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final Counters counters = new Counters();
    private final NodeList nodeList = () -> {};
    private double nowMs = 1_000_000;
    private final TimerWheel wheel = new TimerWheel(nowMs);
    private Dispatcher.Actions moduleActions;

    private final NodeLink link = new NodeLink() {
        @Override
        public void send(Attempt attempt) {
            sent.add(attempt);
        }

        @Override
        public void giveUp(Attempt attempt) {}

        @Override
        public void probe(Probe probe) {}

        @Override
        public void closeIdle() {}
    };

    /** A core with a module that does nothing by itself. */
    private final DispatchCore core = new DispatchCore(
            SettingsReader.settings(Json.object("settings", Scenario.SETTINGS.getBytes(StandardCharsets.UTF_8))),
            () -> nowMs,
            wheel,
            counters,
            new DispatchCore.Bounds(5, 1 << 16, 2, 1 << 16),
            line -> {},
            actions -> {
                moduleActions = actions;
                return (Dispatcher) Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {Dispatcher.class},
                        (proxy, method, arguments) -> null);
            });

    private void listNode(Phase phase, double startedAtMs) {
        core.applyList(
                nodeList,
                ListMode.INCREMENTAL,
                List.of(new ListedNode(new WorkerEntry("n", 0, 0, 0, phase, 1, startedAtMs), link)));
    }

    private void submit(String id, int classIndex, String uniqueKey) {
        submit(id, classIndex, uniqueKey, null);
    }

    private void submit(String id, int classIndex, String uniqueKey, LeaseAuthority leaseAuthority) {
        core.submit(
                new JobSpec(
                        id,
                        classIndex,
                        null,
                        ByteBuffer.allocate(1),
                        1000,
                        Double.NaN,
                        1,
                        Double.NaN,
                        0,
                        null,
                        false,
                        uniqueKey),
                new ReplyTo() {
                    @Override
                    public void served(WorkerResult result) {
                        answers.add(id + " served");
                    }

                    @Override
                    public void refused(double retryAfterMs) {
                        answers.add(id + " refused");
                    }

                    @Override
                    public void failed() {
                        answers.add(id + " failed");
                    }
                },
                leaseAuthority);
    }

    /** Guards a client that leaves: its job may have run and is kept under its unique key, but gets no further attempt. */
    @Test
    void aJobWhoseClientsHaveAllLeftGetsNoFurtherAttempt() {
        listNode(Phase.SERVING, 0);
        submit("a", FREE_CLASS, "key");
        assign("a");
        OpenJob job = core.findJob("a");
        core.removeClient(job, job.recipients.get(0));
        assertThat(core.openJobCount()).isEqualTo(1);
        sent.get(0).ended(Ending.RESET, null);
        assign("a");
        assertThat(sent).hasSize(1);
        assertThat(core.openJobCount()).isZero();
        assertThat(core.isOutcomeKept("key")).isTrue();
    }

    /** Requests an attempt and triggers an event, as requested actions are carried out with the next event. */
    private void assign(String id) {
        moduleActions.assign(id, "n", 0);
        core.applyList(nodeList, ListMode.FAILED, List.of());
    }

    private void refuse(String id) {
        moduleActions.refuse(id, 0);
        core.applyList(nodeList, ListMode.FAILED, List.of());
    }

    private void advanceMs(double ms) {
        nowMs += ms;
        wheel.advanceTo(nowMs);
    }

    /** No attempt is sent to a node that drains, is gone or was never listed. */
    @Test
    void noAttemptGoesToANodeThatIsNotServing() {
        submit("a", FREE_CLASS, null);
        assign("a");
        listNode(Phase.DRAINING, 0);
        assign("a");
        listNode(Phase.DELETED, 0);
        assign("a");
        assertThat(sent).isEmpty();
        assertThat(counters.get("guard.drain")).isEqualTo(3);
    }

    /** Nothing is sent before the lease is granted, nor after that to a node that has started to drain meanwhile. */
    @Test
    void jobIsNotSentBeforeItsLeaseIsGranted() {
        List<java.util.function.Consumer<Boolean>> decisions = new ArrayList<>();
        List<String> reports = new ArrayList<>();
        LeaseAuthority leaseAuthority = new LeaseAuthority() {
            @Override
            public void requestLease(Attempt attempt, java.util.function.Consumer<Boolean> onDecision) {
                decisions.add(onDecision);
            }

            @Override
            public void leaseNotUsed(Attempt attempt) {
                reports.add(attempt.spec().id() + " unused");
            }

            @Override
            public void ended(Attempt attempt, boolean neverRan) {
                reports.add(attempt.spec().id() + (neverRan ? " never ran" : " may have run"));
            }
        };
        listNode(Phase.SERVING, 0);
        for (String id : List.of("a", "b", "c", "d")) {
            submit(id, SINGLE_SHOT_CLASS, null, leaseAuthority);
            assign(id);
        }
        assertThat(sent).isEmpty();
        decisions.get(0).accept(true);
        assertThat(sent).hasSize(1);
        sent.get(0).ended(Ending.FULL, null);
        assertThat(reports).containsExactly("a never ran");
        decisions.get(1).accept(false);
        refuse("b"); // it never ran, so refusing it is harmless
        refuse("c");
        decisions.get(2).accept(true);
        listNode(Phase.DRAINING, 0);
        decisions.get(3).accept(true);
        assertThat(sent)
                .as("neither the refused job nor the one for a draining node is sent")
                .hasSize(1);
        assertThat(reports).containsExactly("a never ran", "c unused", "d unused");
        assertThat(answers).containsExactly("b refused", "c refused");
        assertThat(counters.get("guard.refusal")).isZero();
    }

    /** A job has one outstanding attempt at a time, six at most in total and none after its answer. */
    @Test
    void attemptsPerJobAreLimited() {
        listNode(Phase.SERVING, 0);
        submit("a", FREE_CLASS, null);
        assign("a");
        assign("a");
        assertThat(sent).hasSize(1);
        assertThat(counters.get("guard.second_copy")).isEqualTo(1);
        for (int i = 0; i < 9; i++) {
            sent.get(sent.size() - 1).ended(Ending.FULL, null);
            assign("a");
        }
        assertThat(sent)
                .as("five, and the rejected second copy counts as the sixth")
                .hasSize(5);
        refuse("a");
        assign("a");
        assertThat(answers).containsExactly("a refused");
        assertThat(counters.get("guard.over")).isEqualTo(1);
    }

    /** An order that may have run is neither sent again nor refused; one that never ran may be both. */
    @Test
    void orderThatMayHaveRunIsNeitherRepeatedNorRefused() {
        listNode(Phase.SERVING, 0);
        submit("a", SINGLE_SHOT_CLASS, null);
        assign("a");
        sent.get(0).ended(Ending.CONNECT_FAILED, null);
        assign("a");
        sent.get(1).ended(Ending.RESET, null);
        assign("a");
        refuse("a");
        submit("b", SINGLE_SHOT_CLASS, null);
        refuse("b");
        assertThat(sent).hasSize(2);
        assertThat(answers).containsExactly("a failed", "b refused");
        assertThat(counters.get("guard.repeat")).isEqualTo(1);
        assertThat(counters.get("guard.refusal")).isEqualTo(1);
    }

    /** A job that the module does not answer fails soon after its deadline, and a late result is ignored. */
    @Test
    void jobForgottenByTheModuleFailsInTime() {
        listNode(Phase.SERVING, 0);
        submit("a", FREE_CLASS, null);
        assign("a");
        advanceMs(1000);
        assign("a");
        advanceMs(6);
        sent.get(0).served(ByteBuffer.allocate(1), null);
        assertThat(sent).hasSize(1);
        assertThat(answers).containsExactly("a failed");
        assertThat(counters.get("guard.unanswered")).isEqualTo(1);
    }

    /** A cold node gets at most four outstanding attempts; a warm one gets as many as the module requests. */
    @Test
    void coldNodeGetsFewAttempts() {
        listNode(Phase.SERVING, nowMs - 100);
        for (String id : List.of("a", "b", "c", "d", "e")) {
            submit(id, FREE_CLASS, null);
            assign(id);
        }
        assertThat(sent).hasSize(4);
        assertThat(counters.get("guard.cold")).isEqualTo(1);
        advanceMs(300);
        assign("e");
        assertThat(sent).hasSize(5);
    }

    /** Jobs beyond the bounds are refused, and kept outcomes are not dropped before they expire. */
    @Test
    void jobsBeyondTheBoundsAreRefused() {
        listNode(Phase.SERVING, 0);
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            submit(id, FREE_CLASS, null);
        }
        assertThat(answers).containsExactly("f refused");
        for (String id : List.of("a", "b", "c", "d", "e")) {
            refuse(id);
        }
        answers.clear();
        for (String id : List.of("x", "y")) {
            submit(id, SINGLE_SHOT_CLASS, id);
            assign(id);
            sent.get(sent.size() - 1).served(ByteBuffer.allocate(1), null);
        }
        submit("z", SINGLE_SHOT_CLASS, "z");
        submit("x2", SINGLE_SHOT_CLASS, "x");
        advanceMs(20_001);
        submit("z2", SINGLE_SHOT_CLASS, "z");
        assertThat(answers).containsExactly("x served", "y served", "z refused", "x2 served");
        assertThat(core.openJobCount()).isEqualTo(1);
    }
}
