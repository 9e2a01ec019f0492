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

/** The core's guards against a module that asks for what the rules forbid; each event is a chance to ask. */
class GuardsTest {
    private static final int PLAN = 0;
    private static final int ORDER = 1;

    private final List<Attempt> sent = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final Counters counters = new Counters();
    private final NodeList list = () -> {};
    private double now = 1_000_000;
    private final TimerWheel wheel = new TimerWheel(now);
    private Dispatcher.Actions ask;

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
        public void leave() {}
    };

    /** A core whose module does nothing by itself: the test asks in its place. */
    private final DispatchCore room = new DispatchCore(
            SettingsReader.settings(Json.object("settings", Scenario.SETTINGS.getBytes(StandardCharsets.UTF_8))),
            () -> now,
            wheel,
            counters,
            new DispatchCore.Bounds(5, 1 << 16, 2, 1 << 16),
            words -> {},
            actions -> {
                ask = actions;
                return (Dispatcher) Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {Dispatcher.class},
                        (proxy, method, arguments) -> null);
            });

    private void node(Phase phase, double cameUp) {
        room.listed(
                list,
                ListMode.INCREMENTAL,
                List.of(new ListedNode(new WorkerEntry("n", 0, 0, 0, phase, 1, cameUp), link)));
    }

    private void take(String id, int cls, String unique) {
        take(id, cls, unique, null);
    }

    private void take(String id, int cls, String unique, LeaseAuthority rights) {
        room.take(
                new JobRequest(
                        id, cls, null, ByteBuffer.allocate(1), 1000, Double.NaN, 1, Double.NaN, 0, null, false, unique),
                new ReplyTo() {
                    @Override
                    public void served(ByteBuffer result) {
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
                rights);
    }

    /** What was asked for is carried out with the next event. */
    private void assign(String id) {
        ask.assign(id, "n", 0);
        room.listed(list, ListMode.FAILED, List.of());
    }

    private void refuse(String id) {
        ask.refuse(id, 0);
        room.listed(list, ListMode.FAILED, List.of());
    }

    private void waitMs(double ms) {
        now += ms;
        wheel.turnTo(now);
    }

    /** Guards: nothing to a node that drains, is gone, or was never listed. */
    @Test
    void nothingGoesToADrainedNode() {
        take("a", PLAN, null);
        assign("a");
        node(Phase.DRAINING, 0);
        assign("a");
        node(Phase.DELETED, 0);
        assign("a");
        assertThat(sent).isEmpty();
        assertThat(counters.of("guard.drain")).isEqualTo(3);
    }

    /** Guards the right to hand out: nothing is sent before it is granted, nor to a node that drained meanwhile. */
    @Test
    void aJobUnderARightIsHeldBackUntilItIsGranted() {
        List<java.util.function.Consumer<Boolean>> asked = new ArrayList<>();
        List<String> said = new ArrayList<>();
        LeaseAuthority rights = new LeaseAuthority() {
            @Override
            public void ask(Attempt a, java.util.function.Consumer<Boolean> then) {
                asked.add(then);
            }

            @Override
            public void unused(Attempt a) {
                said.add(a.sheet().id() + " unused");
            }

            @Override
            public void ended(Attempt a, boolean neverRan) {
                said.add(a.sheet().id() + (neverRan ? " never ran" : " may have run"));
            }
        };
        node(Phase.SERVING, 0);
        for (String id : List.of("a", "b", "c", "d")) {
            take(id, ORDER, null, rights);
            assign(id);
        }
        assertThat(sent).isEmpty();
        asked.get(0).accept(true);
        assertThat(sent).hasSize(1);
        sent.get(0).ended(Ending.FULL, null);
        assertThat(said).containsExactly("a never ran");
        asked.get(1).accept(false);
        refuse("b"); // it never ran: refusing it is harmless
        refuse("c");
        asked.get(2).accept(true);
        node(Phase.DRAINING, 0);
        asked.get(3).accept(true);
        assertThat(sent)
                .as("neither what was answered nor what would go to a drained node")
                .hasSize(1);
        assertThat(said).containsExactly("a never ran", "c unused", "d unused");
        assertThat(answers).containsExactly("b refused", "c refused");
        assertThat(counters.of("guard.refusal")).isZero();
    }

    /** Guards: one attempt out at a time, six at the most, none after the answer. */
    @Test
    void attemptsAreLimited() {
        node(Phase.SERVING, 0);
        take("a", PLAN, null);
        assign("a");
        assign("a");
        assertThat(sent).hasSize(1);
        assertThat(counters.of("guard.second_copy")).isEqualTo(1);
        for (int i = 0; i < 9; i++) {
            sent.get(sent.size() - 1).ended(Ending.FULL, null);
            assign("a");
        }
        assertThat(sent).as("with the one that was not sent, six").hasSize(5);
        refuse("a");
        assign("a");
        assertThat(answers).containsExactly("a refused");
        assertThat(counters.of("guard.over")).isEqualTo(1);
    }

    /** Guards: an order that may have run is neither sent again nor refused; one that never ran may be both. */
    @Test
    void anOrderThatMayHaveRunIsNotRepeated() {
        node(Phase.SERVING, 0);
        take("a", ORDER, null);
        assign("a");
        sent.get(0).ended(Ending.CONNECT_FAILED, null);
        assign("a");
        sent.get(1).ended(Ending.RESET, null);
        assign("a");
        refuse("a");
        take("b", ORDER, null);
        refuse("b");
        assertThat(sent).hasSize(2);
        assertThat(answers).containsExactly("a failed", "b refused");
        assertThat(counters.of("guard.repeat")).isEqualTo(1);
        assertThat(counters.of("guard.refusal")).isEqualTo(1);
    }

    /** Guards: a job that the module forgets is failed in time, and a late result answers nothing. */
    @Test
    void whatTheModuleForgetsIsFailedInTime() {
        node(Phase.SERVING, 0);
        take("a", PLAN, null);
        assign("a");
        waitMs(1000);
        assign("a");
        waitMs(6);
        sent.get(0).served(ByteBuffer.allocate(1), null);
        assertThat(sent).hasSize(1);
        assertThat(answers).containsExactly("a failed");
        assertThat(counters.of("guard.unanswered")).isEqualTo(1);
    }

    /** Guards: a cold node has a few attempts out at the most, a warm one as many as the module likes. */
    @Test
    void aColdNodeIsNotFlooded() {
        node(Phase.SERVING, now - 100);
        for (String id : List.of("a", "b", "c", "d", "e")) {
            take(id, PLAN, null);
            assign(id);
        }
        assertThat(sent).hasSize(4);
        assertThat(counters.of("guard.cold")).isEqualTo(1);
        waitMs(300);
        assign("e");
        assertThat(sent).hasSize(5);
    }

    /** Guards the bounds: jobs over them are refused, and kept outcomes are not dropped before their time. */
    @Test
    void whatGoesOverTheBoundsIsRefused() {
        node(Phase.SERVING, 0);
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            take(id, PLAN, null);
        }
        assertThat(answers).containsExactly("f refused");
        for (String id : List.of("a", "b", "c", "d", "e")) {
            refuse(id);
        }
        answers.clear();
        for (String id : List.of("x", "y")) {
            take(id, ORDER, id);
            assign(id);
            sent.get(sent.size() - 1).served(ByteBuffer.allocate(1), null);
        }
        take("z", ORDER, "z");
        take("x2", ORDER, "x");
        waitMs(20_001);
        take("z2", ORDER, "z");
        assertThat(answers).containsExactly("x served", "y served", "z refused", "x2 served");
        assertThat(room.open()).isEqualTo(1);
    }
}
