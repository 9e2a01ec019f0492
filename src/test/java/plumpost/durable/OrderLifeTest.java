package plumpost.durable;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.durable.OrderLife.State;

/** Tests the life cycle of durable orders by exhaustive search of a small model. */
class OrderLifeTest {
    /** In no interleaving does an order run twice, get two answers, or get lost once it is acknowledged. */
    @Test
    void noInterleavingBreaksAnInvariant() {
        OrderModel model = new OrderModel(OrderModel.Mutation.NOTHING);
        assertThat(model.search()).isNull();
        assertThat(model.visited.size()).as("states").isGreaterThan(100_000);
        assertThat(model.reachedStates).containsExactlyInAnyOrder(State.values());
    }

    /** Checks the model checker itself: each mutation of the driver is detected by the invariant that it breaks. */
    @Test
    void eachMutationOfTheDriverIsDetected() {
        assertThat(new OrderModel(OrderModel.Mutation.HAND_OUT_BEFORE_WRITE).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Mutation.QUEUE_LEASED_ORDERS_ON_RESTART).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Mutation.TREAT_LOST_WORKER_AS_HAND_BACK).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Mutation.ACKNOWLEDGE_BEFORE_WRITE).search())
                .contains("is lost");
        assertThat(new OrderModel(OrderModel.Mutation.ANSWER_LATE_RESULTS).search())
                .contains("two final answers");
    }
}
