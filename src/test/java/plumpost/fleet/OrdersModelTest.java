package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The fleet's ledger and the schedulers that act on it, explored exhaustively; see {@link OrdersModel}. */
class OrdersModelTest {
    /** The invariants hold over every pause, partition, crash, late report and lost message that the bounds allow. */
    @ParameterizedTest
    @CsvSource({"false,1,2,1,3", "true,1,1,1,3", "false,2,1,0,2"})
    void noOrderOfEventsViolatesAnInvariant(boolean repeatable, int orders, int losses, int crashes, int leases) {
        OrdersModel model = new OrdersModel(OrdersModel.Fault.NOTHING, repeatable, orders, losses, crashes, leases);
        model.explore();
        assertThat(model.violation).isNull();
        System.out.println("ledger model: " + model.stateCount() + " states, " + model.moves + " moves");
        assertThat(model.reached)
                .contains(
                        "TAKEN to LEASED",
                        "LEASED to TAKEN",
                        "LEASED to SERVED",
                        "LEASED to AWAITED",
                        "AWAITED to SERVED",
                        "claimed",
                        "LEASE refused",
                        "HANDED_BACK refused",
                        "Settle refused",
                        repeatable ? "AWAITED to TAKEN" : "UNKNOWN to SERVED");
    }

    /** Checks the model itself: each injected fault is detected by the invariant that it violates. */
    @ParameterizedTest
    @CsvSource({
        "HANDED_OUT_WHEN_ASKED,an order that ran waits|an order ran twice",
        "LEASED_IS_FREE_WHEN_LOST,an order that ran waits",
        "CLAIM_TAKES_WHAT_IS_HELD,an order that ran waits|a lost session holds an order",
        "OLD_LEASE_HANDS_BACK,an order that ran waits",
        "AWAITED_IS_HANDED_OUT_AGAIN,an order that ran waits"
    })
    void eachInjectedFaultIsDetected(OrdersModel.Fault fault, String violations) {
        OrdersModel model = new OrdersModel(fault, false, 1, 1, 1, 3);
        model.explore();
        assertThat(model.violation).isIn((Object[]) violations.split("\\|"));
    }
}
