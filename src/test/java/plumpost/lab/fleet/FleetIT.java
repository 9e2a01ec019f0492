package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.One;

/** Real processes of the built program with faults between them. Rules are judged; times are waited for with wide bounds. */
@Timeout(180)
class FleetIT extends FleetRig {
    /** Guards the schedule of the fleet: whoever took a job and whoever dies, what was acknowledged runs, and once. */
    @Test
    void scheduledJobsRunOnceThoughTheirTakerAndTheOwnerAreKilled() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it", "plan-it");
        List<String> keys = planEach(30, "order-it", "o", 4000);
        keys.addAll(planEach(30, "plan-it", "p", 4000));
        One owner = lab.one(owner("schedule"));
        long before = fence();
        owner.signal("KILL");
        until(
                "another owns the schedule",
                () -> !owner("schedule").isEmpty() && !owner("schedule").equals(owner.name()));
        assertThat(fence()).isGreaterThan(before);
        eachOnce(keys);
        double started = lab.history().nowMs();
        owner.start();
        joined(owner, started);
        until("it takes jobs", () -> Hands.plan(owner, lab.history(), "order-it", "again", 1) != null);
        eachOnce(List.of("again"));
    }

    /** Guards against an owner that wakes up late: what it still believes is refused, and nothing runs twice. */
    @Test
    void anOwnerThatWasStoppedDoesNoHarmWhenItWakes() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        for (int round = 0; round < 2; round++) {
            One owner = lab.one(owner("schedule"));
            List<String> keys = plan(40, "order-it", "r" + round + "-", 2000);
            Thread.sleep(1500);
            owner.signal("STOP");
            until(
                    "another owns the schedule",
                    () -> lab.all().stream().filter(o -> o != owner).anyMatch(o -> {
                        String now = FleetLab.owner(lab.show(o), "schedule");
                        return !now.isEmpty() && !now.equals(owner.name());
                    }));
            Thread.sleep(500);
            double woken = lab.history().nowMs();
            owner.signal("CONT");
            assertThat(lab.history()
                            .await(
                                    woken,
                                    PATIENCE_MS,
                                    s -> s.who().equals(owner.name())
                                            && s.words().contains("is over")))
                    .as("it learns that its life is over")
                    .isNotNull();
            joined(owner, woken);
            onceOrGivenUp(keys);
        }
    }

    /** Guards the orderly end: an owner that is told to stop passes its duty on at once, and all restart in turn. */
    @Test
    void sigtermYieldsAtOnceAndARollingRestartLosesNothing() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        List<String> keys = plan(30, "order-it", "o", 9000);
        for (One o : lab.all()) {
            boolean owned = owner("schedule").equals(o.name());
            double at = lab.history().nowMs();
            o.signal("TERM");
            if (owned) {
                assertThat(lab.history()
                                .await(
                                        at,
                                        PATIENCE_MS,
                                        s -> s.what().equals("log") && s.words().contains("was " + o.name() + "'s")))
                        .as("another owns it")
                        .isNotNull();
            }
            assertThat(o.ended(PATIENCE_MS)).isTrue();
            o.start();
            joined(o, at);
        }
        eachOnce(keys);
    }

    /** Guards the operators' bans: said at one they hold at all, outlive the end of every process, and end by one call. */
    @Test
    void bansHoldForTheFleetAndOutliveARestartOfAll() throws Exception {
        fleet(
                3,
                0,
                3,
                "\"discovery\": \"127.0.0.1:1\", \"known\": {\"seq\": 1, \"whole\": true, \"hosts\": [{\"host\": \"n1\", \"dial\": \"127.0.0.1:1\", "
                        + "\"health\": \"up\", \"site\": \"plant-1\", \"class\": \"gearman\", \"share\": 1.0, \"born_ms\": 0}]}, ");
        One first = lab.all().get(0);
        One second = lab.all().get(1);
        assertThat(call(first, "n9/offline")).isEqualTo(404);
        assertThat(call(first, "n1/offline")).isEqualTo(200);
        until("it holds everywhere", () -> page().list("offline").equals(List.of("n1")));
        double killed = lab.history().nowMs();
        for (One o : lab.all()) {
            o.signal("KILL");
        }
        for (One o : List.of(second, lab.all().get(2), first)) {
            assertThat(o.ended(PATIENCE_MS)).isTrue();
            o.start();
        }
        for (One o : lab.all()) {
            joined(o, killed);
        }
        assertThat(page().list("offline")).isEqualTo(List.of("n1"));
        until("the fleet takes it back", () -> call(second, "n1/online") == 200);
        until("it is back", () -> page().list("offline").isEmpty());
        lab.cutOff("s2", true, true, true);
        until(
                "the lease of s2 has ended",
                () -> lab.history().of("log").stream()
                        .anyMatch(s -> s.who().equals("s2") && s.words().contains("serves on by itself")));
        assertThat(call(second, "n1/offline")).as("out here, but not agreed on").isEqualTo(503);
        lab.cutOff("s2", true, true, false);
        until("s2 is heard again", () -> call(second, "n1/offline") == 200);
    }
}
