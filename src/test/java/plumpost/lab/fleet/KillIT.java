package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short version of {@code make kill-test}: random faults on processes with covered orders. */
@Timeout(420)
class KillIT extends FleetTestBase {
    /** Guards against a lost or repeated order: each acknowledged one gets a final answer and runs at most once. */
    @Test
    void randomFaultsLoseNoOrderAndRunNoneTwice() throws Exception {
        extraPeerSettings = "\"covers\": [\"pickup-order\"], \"awaitMs\": 3000, ";
        createFleet(3, 0, 3, "");
        OrderFaultRun.Result result = new OrderFaultRun(lab, 1, System.out).run(20, 200);
        System.out.print(result.table());
        assertThat(result.violations()).isEmpty();
        assertThat(result.done()).isGreaterThan(50);
    }
}
