package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.durable.OrderLife.Event;
import plumpost.durable.OrderLife.State;
import plumpost.fleet.Entry.By;
import plumpost.fleet.Entry.Offer;

/** The fleet's ledger by single steps; every interleaving is {@link OrdersModel}'s. */
class OrdersTest {
    private final FleetBook book = new FleetBook();
    private final By a = join("a");
    private final By b = join("b");

    private Outcome apply(Entry e) {
        return book.apply(e, 1, new ArrayList<>());
    }

    private By join(String name) {
        return new By(
                name,
                apply(new Entry.Join(name, "", "disk-" + name, true, "n", 1, List.of(new Offer(FleetBook.LEDGER, ""))))
                        .number());
    }

    private Outcome take(By by, String id, String key, boolean again) {
        return apply(new Entry.Take(by, id, "f", key, new byte[3], 0, 1000, again, true));
    }

    private Outcome told(By by, String id, Event event, int lease) {
        return apply(new Entry.Told(by, id, event, lease, new byte[] {7}));
    }

    private Orders.Order order(String id) {
        return book.orders().of(id);
    }

    private long fence() {
        return book.duties().of(FleetBook.LEDGER).fence();
    }

    /** Guards two clients with one key at two schedulers in the same moment: one order, known to both by one handle. */
    @Test
    void oneKeyIsOneOrder() {
        assertThat(take(a, "H:a:1", "k", false).words()).isEqualTo("H:a:1");
        assertThat(take(b, "H:b:1", "k", false).words()).isEqualTo("H:a:1");
        assertThat(take(b, "H:b:2", "", false).words()).isEqualTo("H:b:2");
        assertThat(take(b, "H:b:3", "", false).words())
                .as("without a key each is its own")
                .isEqualTo("H:b:3");
        assertThat(book.orders().under("f", "k").holder()).isEqualTo("a");
        assertThat(book.orders().all()).hasSize(3);
    }

    /** Guards takeover: what was held goes to one survivor, what was leased is awaited and then given up, once. */
    @Test
    void whatALostLifeHeldIsTakenOverAndWhatItLeasedIsNot() {
        take(a, "held", "1", false);
        take(a, "out", "2", false);
        take(a, "plan", "3", true);
        assertThat(told(a, "out", Event.LEASE, 0).number()).isEqualTo(1);
        assertThat(told(a, "plan", Event.LEASE, 0).number()).isEqualTo(1);
        assertThat(told(b, "held", Event.LEASE, 0).words()).contains("is not b#" + b.incarnation() + "'s to lease");
        assertThat(apply(new Entry.Claim(b, List.of("held", "out"))).number())
                .as("a lives")
                .isZero();
        apply(new Entry.Judge("a", a.incarnation(), Entry.Verdict.LOST, 1));
        assertThat(told(a, "held", Event.LEASE, 0).done())
                .as("its life is over")
                .isFalse();
        assertThat(apply(new Entry.Claim(b, List.of("held", "out", "plan"))).number())
                .isEqualTo(1);
        assertThat(order("held").holder()).isEqualTo("b");
        assertThat(order("out").state()).isEqualTo(State.AWAITED);
        assertThat(apply(new Entry.Settle(fence() - 1, List.of("out"), List.of()))
                        .words())
                .contains("is old");
        apply(new Entry.Settle(fence(), List.of("held", "out", "plan"), List.of("held")));
        assertThat(order("out").state()).isEqualTo(State.UNKNOWN);
        assertThat(order("plan").state()).as("it may run again, elsewhere").isEqualTo(State.TAKEN);
        assertThat(order("held").state())
                .as("it was not awaited, nor is it over")
                .isEqualTo(State.TAKEN);
        assertThat(told(a, "out", Event.DONE, 1).done()).as("the truth is kept").isTrue();
        assertThat(order("out").result()).containsExactly(7);
        apply(new Entry.Settle(fence(), List.of(), List.of("out", "held")));
        assertThat(order("out")).isNull();
        assertThat(order("held")).isNotNull();
        assertThat(book.orders().under("f", "2")).isNull();
    }

    /** Guards the orderly end: what is not handed out is free at once, what is out is finished by whoever has it. */
    @Test
    void oneThatLeavesGivesBackWhatItHasNotHandedOut() {
        take(a, "held", "1", false);
        take(a, "out", "2", false);
        told(a, "out", Event.LEASE, 0);
        apply(new Entry.Leave("a", a.incarnation(), false));
        assertThat(Orders.free(order("held"))).isTrue();
        assertThat(told(a, "out", Event.DONE, 1).done()).isTrue();
        assertThat(order("out").state()).isEqualTo(State.SERVED);
        assertThat(take(b, "again", "2", false).words())
                .as("a resubmit finds its outcome")
                .isEqualTo("out");
    }

    /** Guards attempts over all schedulers: six leases at most, then a repeatable order is given up too. */
    @Test
    void sixLeasesAreTheMost() {
        take(a, "plan", "1", true);
        for (int lease = 0; lease < Orders.MOST_LEASES; lease++) {
            assertThat(order("plan").state()).isEqualTo(State.TAKEN);
            assertThat(told(a, "plan", Event.LEASE, lease).done()).isTrue();
            told(a, "plan", Event.STALL, lease + 1);
        }
        assertThat(order("plan").state()).isEqualTo(State.UNKNOWN);
    }

    /** Guards the ledger over a snapshot, and its bounds. */
    @Test
    void itOutlivesASnapshotAndIsBounded() throws Exception {
        take(a, "one", "k", false);
        told(a, "one", Event.LEASE, 0);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FleetCodec.write(book, out);
        FleetBook other = new FleetBook();
        other.restore(FleetCodec.snapshot(new ByteArrayInputStream(out.toByteArray())));
        assertThat(other.orders().under("f", "k").lease()).isEqualTo(1);
        assertThat(other.apply(
                                new Entry.Take(
                                        a, "big", "f", "", new byte[(int) Orders.MOST_BYTES], 0, 1000, false, true),
                                1,
                                new ArrayList<>())
                        .words())
                .contains("the fleet's ledger is full: 1 orders, 3 bytes");
    }
}
