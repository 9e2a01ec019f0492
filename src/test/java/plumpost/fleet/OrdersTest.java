package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.SessionId;

/** The fleet's ledger in single steps; {@link OrdersModel} explores every interleaving. */
class OrdersTest {
    private final FleetState state = new FleetState();
    private final SessionId sessionA = join("a");
    private final SessionId sessionB = join("b");

    private Outcome apply(Entry entry) {
        return state.apply(entry, 1, new ArrayList<>());
    }

    private SessionId join(String name) {
        return new SessionId(
                name,
                apply(new Entry.Join(name, "", "disk-" + name, true, "n", 1, List.of(new Offer(FleetState.LEDGER, ""))))
                        .number());
    }

    private Outcome take(SessionId session, String id, String key, boolean repeatable) {
        return apply(new Entry.Take(session, id, "f", key, new byte[3], 0, 1000, repeatable, true));
    }

    private Outcome report(SessionId session, String id, Event event, int lease) {
        return apply(new Entry.Told(session, id, event, lease, new byte[] {7}));
    }

    private Orders.Order order(String id) {
        return state.orders().find(id);
    }

    private long fence() {
        return state.duties().find(FleetState.LEDGER).fence();
    }

    /** Two clients that submit the same key at two schedulers at the same time get one order with one handle. */
    @Test
    void ordersWithEqualKeysAreOneOrder() {
        assertThat(take(sessionA, "H:a:1", "k", false).detail()).isEqualTo("H:a:1");
        assertThat(take(sessionB, "H:b:1", "k", false).detail()).isEqualTo("H:a:1");
        assertThat(take(sessionB, "H:b:2", "", false).detail()).isEqualTo("H:b:2");
        assertThat(take(sessionB, "H:b:3", "", false).detail())
                .as("orders without a key are separate")
                .isEqualTo("H:b:3");
        assertThat(state.orders().findByKey("f", "k").holder()).isEqualTo("a");
        assertThat(state.orders().all()).hasSize(3);
    }

    /** Takeover: a held order goes to one survivor; a leased one is awaited, then given up once, or freed if repeatable. */
    @Test
    void ordersHeldByALostSessionAreClaimedAndLeasedOnesAwaited() {
        take(sessionA, "held", "1", false);
        take(sessionA, "out", "2", false);
        take(sessionA, "plan", "3", true);
        assertThat(report(sessionA, "out", Event.LEASE, 0).number()).isEqualTo(1);
        assertThat(report(sessionA, "plan", Event.LEASE, 0).number()).isEqualTo(1);
        assertThat(report(sessionB, "held", Event.LEASE, 0).detail())
                .contains("is not b#" + sessionB.incarnation() + "'s to lease");
        assertThat(apply(new Entry.Claim(sessionB, List.of("held", "out"))).number())
                .as("session a is live")
                .isZero();
        apply(new Entry.Judge("a", sessionA.incarnation(), Entry.Verdict.LOST, 1));
        assertThat(report(sessionA, "held", Event.LEASE, 0).done())
                .as("its session is over")
                .isFalse();
        assertThat(apply(new Entry.Claim(sessionB, List.of("held", "out", "plan")))
                        .number())
                .isEqualTo(1);
        assertThat(order("held").holder()).isEqualTo("b");
        assertThat(order("out").state()).isEqualTo(State.AWAITED);
        assertThat(apply(new Entry.Settle(fence() - 1, List.of("out"), List.of()))
                        .detail())
                .contains("is old");
        apply(new Entry.Settle(fence(), List.of("held", "out", "plan"), List.of("held")));
        assertThat(order("out").state()).isEqualTo(State.UNKNOWN);
        assertThat(order("plan").state())
                .as("a repeatable order may run again, elsewhere")
                .isEqualTo(State.TAKEN);
        assertThat(order("held").state())
                .as("an order that is neither awaited nor ended is not settled")
                .isEqualTo(State.TAKEN);
        assertThat(report(sessionA, "out", Event.DONE, 1).done())
                .as("a late result is kept")
                .isTrue();
        assertThat(order("out").result()).containsExactly(7);
        apply(new Entry.Settle(fence(), List.of(), List.of("out", "held")));
        assertThat(order("out")).isNull();
        assertThat(order("held")).isNotNull();
        assertThat(state.orders().findByKey("f", "2")).isNull();
    }

    /** Orderly shutdown: orders not handed out are free at once; those handed out are finished by their scheduler. */
    @Test
    void aLeavingSessionReleasesOrdersThatItHasNotHandedOut() {
        take(sessionA, "held", "1", false);
        take(sessionA, "out", "2", false);
        report(sessionA, "out", Event.LEASE, 0);
        apply(new Entry.Leave("a", sessionA.incarnation(), false));
        assertThat(Orders.isFree(order("held"))).isTrue();
        assertThat(report(sessionA, "out", Event.DONE, 1).done()).isTrue();
        assertThat(order("out").state()).isEqualTo(State.SERVED);
        assertThat(take(sessionB, "again", "2", false).detail())
                .as("a second submission finds the outcome")
                .isEqualTo("out");
    }

    /** A scheduled order is nobody's until it is claimed, can be cancelled until then, and keeps its time in a snapshot. */
    @Test
    void aScheduledOrderIsFreeUntilItIsClaimed() throws Exception {
        Entry scheduled = new Entry.TakeScheduled(sessionA, "late", "f", "k", new byte[3], 1000, false, 5000);
        apply(new Entry.Join("a", "", "disk-a", true, "m", 2, List.of()));
        SessionId again = new SessionId("a", state.sessions().find("a").incarnation());
        apply(new Entry.Leave("b", sessionB.incarnation(), true));
        assertThat(apply(new Entry.Raise(2)).done()).isTrue();
        assertThat(apply(scheduled).detail()).as("its session is over").contains("no such session as a#");
        assertThat(apply(new Entry.TakeScheduled(again, "late", "f", "k", new byte[3], 1000, false, 5000))
                        .detail())
                .isEqualTo("late");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(state, out);
        state.restore(FleetCodec.readSnapshot(new ByteArrayInputStream(out.toByteArray())));
        assertThat(order("late").startMs()).isEqualTo(5000);
        assertThat(Orders.isFree(order("late"))).isTrue();
        assertThat(report(again, "late", Event.LEASE, 0).done()).isFalse();
        assertThat(report(again, "late", Event.GIVE_UP, 0).done()).isTrue();
        assertThat(order("late")).isNull();
        take(again, "held", "k", false);
        SessionId other = join("c");
        assertThat(report(other, "held", Event.GIVE_UP, 0).done())
                .as("an order that another scheduler holds")
                .isFalse();
    }

    /** Records of format 1 have no start times: they are written without and read as 0, so that older programs go on. */
    @Test
    void formatOneHasNoStartTimes() throws Exception {
        take(sessionA, "one", "k", false);
        assertThat(state.sessions().format()).isEqualTo(1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(state, out);
        FleetState other = new FleetState();
        other.restore(FleetCodec.readSnapshot(new ByteArrayInputStream(out.toByteArray())));
        assertThat(other.orders().find("one").startMs()).isZero();
    }

    /** After six leases over all schedulers a repeatable order is given up too. */
    @Test
    void aRepeatableOrderHasAtMostSixLeases() {
        take(sessionA, "plan", "1", true);
        for (int lease = 0; lease < Orders.MAX_LEASES; lease++) {
            assertThat(order("plan").state()).isEqualTo(State.TAKEN);
            assertThat(report(sessionA, "plan", Event.LEASE, lease).done()).isTrue();
            report(sessionA, "plan", Event.STALL, lease + 1);
        }
        assertThat(order("plan").state()).isEqualTo(State.UNKNOWN);
    }

    /** The ledger is restored from a snapshot, and refuses what exceeds its bounds. */
    @Test
    void theLedgerSurvivesASnapshotAndIsBounded() throws Exception {
        take(sessionA, "one", "k", false);
        report(sessionA, "one", Event.LEASE, 0);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.writeSnapshot(state, out);
        FleetState other = new FleetState();
        other.restore(FleetCodec.readSnapshot(new ByteArrayInputStream(out.toByteArray())));
        assertThat(other.orders().findByKey("f", "k").lease()).isEqualTo(1);
        assertThat(other.apply(
                                new Entry.Take(
                                        sessionA,
                                        "big",
                                        "f",
                                        "",
                                        new byte[(int) Orders.MAX_BYTES],
                                        0,
                                        1000,
                                        false,
                                        true),
                                1,
                                new ArrayList<>())
                        .detail())
                .contains("the fleet's ledger is full: 1 orders, 3 bytes");
    }
}
