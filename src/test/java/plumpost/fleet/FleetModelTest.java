package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The replicated state and the schedulers that act on it, explored exhaustively; see {@link FleetModel}. */
class FleetModelTest {
    /** The invariants hold over every pause, partition, crash and lost message that the bounds allow. */
    @ParameterizedTest
    @CsvSource({"false,1,1,0", "false,2,0,0", "true,1,0,0", "false,1,0,1"})
    void noOrderOfEventsViolatesAnInvariant(boolean repeatable, int losses, int crashes, int suspicions) {
        FleetModel model = new FleetModel(FleetModel.Fault.NOTHING, repeatable, losses, crashes, suspicions);
        model.explore();
        assertThat(model.violation).isNull();
        System.out.println("fleet model: " + model.stateCount() + " states, " + model.moves + " moves");
        assertThat(model.reached)
                .contains(
                        "fired",
                        "old fence refused",
                        "begin refused",
                        "owner changed",
                        repeatable ? "begun anew" : "given up");
        if (suspicions > 0) {
            assertThat(model.reached).contains("fired anew");
        }
    }

    /** Checks the model itself: each injected fault is detected by the invariant that it violates. */
    @ParameterizedTest
    @CsvSource({
        "FENCE_NOT_CHECKED,an action under fence",
        "LEASE_TRUSTED_ALONE,an order that ran waits",
        "FENCE_REUSED_AFTER_A_SNAPSHOT,a fence was used twice",
        "BEGUN_ORDERS_FIRED_AGAIN,an order that ran waits",
        "LOST_SESSION_KEEPS_DUTIES,a lost session owns"
    })
    void eachInjectedFaultIsDetected(FleetModel.Fault fault, String violation) {
        FleetModel model = new FleetModel(fault, false, 1, 1, 0);
        model.explore();
        assertThat(model.violation).startsWith(violation);
    }
}
