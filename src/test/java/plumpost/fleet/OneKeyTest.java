package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.SessionId;

/**
 * One unique key is one order: every pair of ways in which a key can be submitted, at the same or another scheduler, at every
 * state that the first order can be in, including those after its scheduler, its worker or its client was lost.
 */
class OneKeyTest {
    private static final String KEY = "k";
    private static final byte[] BODY = {1};

    /** The ways in which a client can submit an order. */
    private enum Way {
        FOREGROUND,
        BACKGROUND,
        SCHEDULED
    }

    /** What has happened to the first order when the second submission comes. */
    private enum Situation {
        ACCEPTED(State.TAKEN, test -> {}),
        HELD(State.TAKEN, OneKeyTest::hold),
        HOLDER_LOST(State.TAKEN, test -> {
            test.hold();
            test.lose("a");
        }),
        LEASED(State.LEASED, OneKeyTest::lease),
        RUNNING_SCHEDULER_KILLED(State.AWAITED, test -> {
            test.lease();
            test.lose("a");
        }),
        GIVEN_UP_AFTER_KILL(State.UNKNOWN, test -> {
            test.lease();
            test.lose("a");
            test.settle();
        }),
        WORKER_LOST(State.UNKNOWN, test -> test.end(Event.STALL)),
        LATE_RESULT(State.SERVED, test -> {
            test.end(Event.STALL);
            test.report(test.sessionB, Event.DONE, 1);
        }),
        SERVED(State.SERVED, test -> test.end(Event.DONE)),
        FAILED(State.FAILED, test -> test.end(Event.FAIL));

        private final State state;
        private final Consumer<OneKeyTest> steps;

        Situation(State state, Consumer<OneKeyTest> steps) {
            this.state = state;
            this.steps = steps;
        }
    }

    private FleetState state = new FleetState();
    private final SessionId sessionA = join("a");
    private final SessionId sessionB = join("b");

    private Outcome apply(Entry entry) {
        return state.apply(entry, 1, new ArrayList<>());
    }

    private SessionId join(String name) {
        long incarnation = apply(new Entry.Join(
                        name,
                        "",
                        "disk-" + name,
                        true,
                        "n",
                        FleetCodec.FORMAT_WITH_START_TIMES,
                        List.of(new Offer(FleetState.LEDGER, ""), new Offer(FleetState.SCHEDULE, ""))))
                .number();
        return new SessionId(name, incarnation);
    }

    private Outcome submit(Way way, SessionId session, String id, String key) {
        return apply(
                way == Way.SCHEDULED
                        ? new Entry.TakeScheduled(session, id, "f", key, BODY, 1000, false, 5000)
                        : new Entry.Take(session, id, "f", key, BODY, 0, 1000, false, way == Way.BACKGROUND));
    }

    private void hold() {
        apply(new Entry.Claim(sessionA, List.of("first"))); // a scheduled order is held by nobody before
    }

    private void lease() {
        hold();
        assertThat(report(sessionA, Event.LEASE, 0).done()).isTrue();
    }

    private void end(Event event) {
        lease();
        assertThat(report(sessionA, event, 1).done()).isTrue();
    }

    private void lose(String name) {
        long incarnation = state.sessions().find(name).incarnation();
        assertThat(apply(new Entry.Judge(name, incarnation, Entry.Verdict.LOST, 1))
                        .done())
                .isTrue();
    }

    private void settle() {
        long fence = state.duties().find(FleetState.LEDGER).fence();
        assertThat(apply(new Entry.Settle(fence, List.of("first"), List.of())).done())
                .isTrue();
    }

    private Outcome report(SessionId session, Event event, int lease) {
        return apply(new Entry.Told(session, "first", event, lease, new byte[0]));
    }

    static Stream<Arguments> pairsOfWays() {
        return Stream.of(Way.values())
                .flatMap(first -> Stream.of(Way.values())
                        .flatMap(second -> Stream.of(Situation.values())
                                .map(situation -> Arguments.of(first, second, situation))));
    }

    /** Guards against a second order for a key that is known, which would run beside the first. */
    @ParameterizedTest
    @MethodSource("pairsOfWays")
    void aKeySubmittedAgainIsTheSameOrder(Way first, Way second, Situation situation) {
        apply(new Entry.Raise(FleetCodec.FORMAT_WITH_START_TIMES));
        assertThat(submit(first, sessionA, "first", KEY).detail()).isEqualTo("first");
        situation.steps.accept(this);
        assertThat(state.orders().find("first").state()).isEqualTo(situation.state);
        FleetState restored = new FleetState();
        restored.restore(state.snapshot());
        for (FleetState each : List.of(state, restored)) {
            state = each;
            assertThat(submit(second, sessionB, "second", KEY)).isEqualTo(new Outcome(true, 0, "first"));
            assertThat(state.orders().all()).hasSize(1);
            assertThat(state.orders().find("first").state()).isEqualTo(situation.state);
        }
    }

    /** Guards against a second order for a key whose job was planned before the fleet wrote start times. */
    @ParameterizedTest
    @EnumSource
    void aKeyPlannedBeforeTheFormatIsTheSameJob(Way second) {
        apply(new Entry.Plan("first", "f", KEY, BODY, 5000, false));
        apply(new Entry.Raise(FleetCodec.FORMAT_WITH_START_TIMES));
        assertThat(submit(second, sessionB, "second", KEY)).isEqualTo(new Outcome(true, 0, "first"));
        assertThat(state.orders().all()).isEmpty();
        long fence = state.duties().find(FleetState.SCHEDULE).fence();
        apply(new Entry.Fire("first", fence, "a", sessionA.incarnation()));
        assertThat(apply(new Entry.Begin("first", "a", sessionA.incarnation())).done())
                .isTrue();
        lose("a"); // it may have run, and is given up
        assertThat(state.plannedJobs().all()).isEmpty();
        assertThat(submit(second, sessionB, "second", KEY)).isEqualTo(new Outcome(true, 0, "first"));
        assertThat(apply(new Entry.Plan("third", "f", KEY, BODY, 9000, false)))
                .isEqualTo(new Outcome(true, 0, "first"));
        assertThat(state.orders().find("first").state()).isEqualTo(State.UNKNOWN);
    }
}
