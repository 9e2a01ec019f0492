package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short kill test: random faults on processes whose orders are covered; the long one is {@code make kill-test}. */
@Timeout(420)
class KillIT extends FleetRig {
    /** Guards every acknowledged order: it has one final answer and ran once at most, whoever is killed, stopped or cut. */
    @Test
    void randomFaultsLoseNoOrderAndRunNoneTwice() throws Exception {
        peersMore = "\"covers\": [\"pickup-order\"], \"awaitMs\": 3000, ";
        unstarted(3, 0, 3, "");
        KillRun.Result r = new KillRun(lab, 1, System.out).run(20, 200);
        System.out.print(r.table());
        assertThat(r.broken()).isEmpty();
        assertThat(r.done()).isGreaterThan(50);
    }
}
