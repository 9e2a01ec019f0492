package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.One;

/** Programs of two record formats side by side. */
@Timeout(240)
class FormatsIT extends FleetRig {

    private int format() {
        return page().whole("format");
    }

    /** Restarts one as a program that reads so new a format, with jobs before and after, each of which runs once. */
    private void restart(One one, int newest, String mark) throws Exception {
        double at = lab.history().nowMs();
        one.signal("TERM");
        assertThat(one.ended(PATIENCE_MS)).isTrue();
        one.format(newest);
        one.start();
        joined(one, at);
        eachOnce(plan(6, "order-it", mark, 0));
    }

    /** Guards a rolling upgrade: the newer format is written once all read it, and an older program then says so and leaves. */
    @Test
    void aNewerFormatIsWrittenOnceAllReadIt() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        One first = lab.all().get(0);
        One third = lab.all().get(2);
        restart(first, 2, "a");
        restart(lab.all().get(1), 2, "b");
        assertThat(format()).as("one does not read it").isEqualTo(1);
        restart(first, 1, "back"); // and back: nothing was written that the older program does not read
        restart(first, 2, "again");
        restart(third, 2, "c");
        until("the newer one is written", () -> format() == 2);
        eachOnce(plan(6, "order-it", "d", 0));
        double at = lab.history().nowMs();
        third.signal("TERM");
        assertThat(third.ended(PATIENCE_MS)).isTrue();
        third.format(1);
        third.start();
        said(third, at, "takes part no longer and serves on by itself");
        said(third, at, "reads 1 to 1");
        until("the others go on", () -> Hands.plan(first, lab.history(), "order-it", "on", 1) != null);
        eachOnce(java.util.List.of("on"));
        third.signal("KILL");
        assertThat(third.ended(PATIENCE_MS)).isTrue();
        third.format(2);
        at = lab.history().nowMs();
        third.start();
        joined(third, at);
        eachOnce(plan(6, "order-it", "e", 0));
    }
}
