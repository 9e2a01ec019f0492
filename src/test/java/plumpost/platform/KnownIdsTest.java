package plumpost.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumpost.Scenario;
import plumpost.SocketRig;
import plumpost.SocketRig.Peer;

/** What a request is told in each state of its id: the table of docs/sound-requests.md as a model, for classes of each effect. */
class KnownIdsTest {
    private static final String GUARDED = Scenario.SETTINGS.replace(
            "\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyScope\":\"all\",\"windowMs\":900.0");
    private static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    private static final double DEADLINE_MS = 20_000;

    /** What has become of the first request under the id. */
    enum State {
        UNKNOWN,
        HELD,
        SENT,
        SENT_AND_LEFT,
        SERVED,
        SERVED_AND_LEFT_BEFORE,
        FAILED,
        REFUSED,
        LEFT_UNSENT,
        TURNED_AWAY_AND_LEFT;

        boolean neverRan() {
            return this == HELD || this == REFUSED || this == LEFT_UNSENT || this == TURNED_AWAY_AND_LEFT;
        }

        boolean open() {
            return this == HELD || this == SENT || this == SENT_AND_LEFT;
        }
    }

    /** One row of the table: the first request, and the second one under its id. */
    record Row(State state, String settings, String ownerClass, String strangerClass, boolean afterDeadline) {
        boolean repeatable() {
            return ownerClass.equals("route-plan");
        }

        /** The model: whether the second request is rejected. */
        boolean rejected() {
            if (state == State.UNKNOWN || state == State.LEFT_UNSENT || state == State.TURNED_AWAY_AND_LEFT) {
                return false;
            }
            return !afterDeadline || !state.neverRan() && !repeatable();
        }

        @Override
        public String toString() {
            String effect = repeatable() ? "free" : settings.equals(GUARDED) ? "guarded" : "single_shot";
            return state + " " + effect + ", then " + strangerClass + (afterDeadline ? " after the deadline" : "");
        }
    }

    static List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (State state : State.values()) {
            for (String settings : List.of(Scenario.SETTINGS, GUARDED)) {
                for (String ownerClass : List.of("route-plan", "pickup-order")) {
                    for (String strangerClass : List.of("route-plan", "pickup-order")) {
                        rows.add(new Row(state, settings, ownerClass, strangerClass, false));
                        if (!state.open()) {
                            rows.add(new Row(state, settings, ownerClass, strangerClass, true));
                        }
                    }
                }
            }
        }
        return rows;
    }

    private static String request(String jobClass, String body) {
        return SocketRig.jobRequest(jobClass, "a", "", body);
    }

    private static Peer takeAttempt(SocketRig rig, String body) {
        Peer node = rig.nodes.get(0).accept();
        rig.advanceUntil("the attempt", 50, () -> node.text().endsWith(body));
        return node;
    }

    /** Brings the id into a state; returns its client, or null where there is none. */
    private static Peer reach(State state, SocketRig rig, String jobClass) throws IOException {
        Peer owner = state == State.UNKNOWN ? null : rig.client();
        if (owner == null) {
            return null;
        }
        if (state == State.HELD || state == State.REFUSED || state == State.LEFT_UNSENT) {
            rig.core.offline("node0"); // nowhere to send it
        }
        owner.send(request(jobClass, "towels"));
        if (state == State.HELD || state == State.REFUSED || state == State.LEFT_UNSENT) {
            rig.turnUntil("it is taken", () -> rig.core.openJobCount() == 1);
            if (state == State.REFUSED) {
                rig.core.endBeforeStop(rig.core.findJob("a"));
                assertThat(owner.expect("HTTP/1.1 ")).startsWith("HTTP/1.1 503 ");
            } else if (state == State.LEFT_UNSENT) {
                owner.close();
                rig.turnUntil("it is dropped", () -> rig.core.openJobCount() == 0);
            }
            return owner;
        }
        Peer node = takeAttempt(rig, "towels");
        switch (state) {
            case SERVED -> {
                node.send(SocketRig.doneAnswer("a"));
                owner.expect("r-a");
            }
            case FAILED -> {
                rig.core.offline("node0"); // a repeatable job has nowhere else to go
                node.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
                rig.advanceUntil("its end", DEADLINE_MS, () -> rig.core.openJobCount() == 0);
            }
            case SENT_AND_LEFT, SERVED_AND_LEFT_BEFORE, TURNED_AWAY_AND_LEFT -> {
                owner.close();
                rig.advance(10);
                if (state != State.SENT_AND_LEFT) {
                    node.send(state == State.TURNED_AWAY_AND_LEFT ? TURNED_AWAY : SocketRig.doneAnswer("a"));
                    rig.advanceUntil("its end", DEADLINE_MS, () -> rig.core.openJobCount() == 0);
                }
            }
            default -> {}
        }
        return owner;
    }

    /** Guards each state of an id: one run, one owner, one answer. */
    @ParameterizedTest
    @MethodSource("rows")
    void aSecondRequestUnderAnIdIsToldWhatTheTableSays(Row row) throws IOException {
        try (SocketRig rig = new SocketRig(row.settings(), 1)) {
            Peer owner = reach(row.state(), rig, row.ownerClass());
            if (row.afterDeadline()) {
                rig.advanceInOneTurn(DEADLINE_MS + 1_000);
            }
            long attemptsBefore = rig.counters.get("attempts.out");
            Peer stranger = rig.client();
            stranger.send(request(row.strangerClass(), "other"));
            boolean leftRepeatable = row.repeatable()
                    && (row.state() == State.TURNED_AWAY_AND_LEFT
                            || row.state() == State.SERVED_AND_LEFT_BEFORE
                            || row.state() == State.SENT_AND_LEFT);
            // A repeatable attempt is given up when its client leaves, and may have run by then.
            if (leftRepeatable ? !row.afterDeadline() : row.rejected()) {
                rig.turnUntil("the rejection", stranger::isClosed);
                assertThat(stranger.text()).startsWith("HTTP/1.1 409 ").doesNotContain("r-a");
                rig.advance(50);
                assertThat(rig.counters.get("attempts.out")).isEqualTo(attemptsBefore);
            } else {
                rig.advance(50);
                assertThat(stranger.text()).doesNotContain("409");
                assertThat(rig.counters.get("front.rejected.known_id")).isZero();
            }
            if (row.state() == State.HELD) {
                rig.core.online("node0");
                takeAttempt(rig, "towels").send(SocketRig.doneAnswer("a"));
                assertThat(owner.expect("r-a")).startsWith("HTTP/1.1 200 ");
            }
            assertThat(rig.counters.get("guard.foreign_result")).isZero();
        }
    }
}
