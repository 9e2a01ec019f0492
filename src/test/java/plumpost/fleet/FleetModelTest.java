package plumpost.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The fleet's book and those who act by it, explored exhaustively; see {@link FleetModel}. */
class FleetModelTest {
    /** Guards the rules over every pause, cut, crash and loss of a message that the bounds allow. */
    @ParameterizedTest
    @CsvSource({"false,1,1,0", "false,2,0,0", "true,1,0,0", "false,1,0,1"})
    void noOrderOfEventsBreaksARule(boolean again, int losses, int crashes, int doubts) {
        FleetModel m = new FleetModel(FleetModel.Broken.NOTHING, again, losses, crashes, doubts);
        m.explore();
        assertThat(m.found).isNull();
        System.out.println("fleet model: " + m.states() + " states, " + m.moves + " moves");
        assertThat(m.reached)
                .contains(
                        "fired",
                        "old fence refused",
                        "begin refused",
                        "owner changed",
                        again ? "begun anew" : "given up");
        if (doubts > 0) {
            assertThat(m.reached).contains("fired anew");
        }
    }

    /** Guards the model itself: each variant broken on purpose is found by the rule that it breaks. */
    @ParameterizedTest
    @CsvSource({
        "FENCE_NOT_CHECKED,a deed under fence",
        "LEASE_TRUSTED_ALONE,an order that ran waits",
        "FENCE_REUSED_AFTER_A_SNAPSHOT,a fence was used twice",
        "BEGUN_ORDERS_FIRED_AGAIN,an order that ran waits",
        "LOST_LIFE_NOT_SETTLED,a lost life owns"
    })
    void eachBrokenVariantIsFound(FleetModel.Broken how, String rule) {
        FleetModel m = new FleetModel(how, false, 1, 1, 0);
        m.explore();
        assertThat(m.found).startsWith(rule);
    }
}
