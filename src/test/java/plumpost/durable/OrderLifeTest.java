package plumpost.durable;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import plumpost.durable.OrderLife.State;

/** The life of a durable order, explored whole for small numbers. */
class OrderLifeTest {
    /** Guards the protocol: in no interleaving does an order run twice, get two answers, or get lost once acknowledged. */
    @Test
    void noInterleavingBreaksARule() {
        OrderModel model = new OrderModel(OrderModel.Broken.NOTHING);
        assertThat(model.search()).isNull();
        assertThat(model.seen.size()).as("states").isGreaterThan(100_000);
        assertThat(model.reached).containsExactlyInAnyOrder(State.values());
    }

    /** Guards the checker itself: each way to break the driver is found, by the rule that it breaks. */
    @Test
    void eachBrokenDriverIsFound() {
        assertThat(new OrderModel(OrderModel.Broken.HANDS_OUT_BEFORE_THE_RECORD).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Broken.QUEUES_LEASED_ORDERS_AT_A_START).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Broken.LOST_IS_HANDED_BACK).search())
                .contains("ran twice");
        assertThat(new OrderModel(OrderModel.Broken.ACKNOWLEDGES_BEFORE_THE_RECORD).search())
                .contains("is lost");
        assertThat(new OrderModel(OrderModel.Broken.ANSWERS_LATE_RESULTS).search())
                .contains("two final answers");
    }
}
