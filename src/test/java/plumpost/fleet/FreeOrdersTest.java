package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumpost.fleet.Entry.SessionId;

/** What one scheduler chooses among the orders that nobody holds. */
class FreeOrdersTest {
    private final FleetSim sim = new FleetSim(3, 1);
    private final Member member = sim.members.get(0).member;
    private final FreeOrders orders = new FreeOrders(member);

    FreeOrdersTest() {
        sim.advance(1_000);
    }

    private Orders.Order order(String id, int priority, double startMs) {
        SessionId session = new SessionId(member.name(), member.incarnation());
        member.applied(
                startMs > 0
                        ? new Entry.TakeScheduled(session, id, "f", "", new byte[1], 1000, false, startMs)
                        : new Entry.Take(session, id, "f", "", new byte[1], priority, 1000, false, true),
                1);
        return member.state().orders().find(id);
    }

    /** Guards the first change of an order of its priority that is not free: it is passed over, and breaks nothing. */
    @Test
    void anOrderThatIsHeldIsNotChosen() {
        orders.set(order("held", 1, 0), false);
        assertThat(orders.select(10, List.of("f"))).isEmpty();
    }

    /** The schedulers with workers take turns; a scheduled order waits for its time, and is then chosen as all others. */
    @Test
    void dueOrdersAreSharedAndScheduledOnesWait() {
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            orders.set(order("due" + i, 0, 0), true);
        }
        chosen.addAll(orders.select(10, List.of("f")));
        assertThat(chosen)
                .as("every third of six, by three schedulers with workers")
                .hasSize(2);
        assertThat(orders.select(10, List.of("other"))).isEmpty();
        for (int i = 0; i < 6; i++) {
            orders.set(order("due" + i, 0, 0), false);
        }
        double startMs = sim.nowMs + 500;
        for (int i = 0; i < 3; i++) {
            orders.set(order("late" + i, 0, startMs), true);
        }
        assertThat(orders.scheduledIds()).containsExactly("late0", "late1", "late2");
        assertThat(orders.select(10, List.of("f"))).isEmpty();
        sim.advance(600);
        assertThat(orders.select(10, List.of("f"))).hasSize(1);
        assertThat(orders.scheduledIds()).isEmpty();
    }
}
