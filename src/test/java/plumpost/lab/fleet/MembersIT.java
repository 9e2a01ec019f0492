package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.One;

/** A fleet that is founded, whose leader is lost with an owner, whose voters are replaced under load. */
@Timeout(300)
class MembersIT extends FleetRig {

    /** Guards the founding: no duty is owned and no job taken while the loss of one voter would stand the fleet still. */
    @Test
    void nobodyTakesPartBeforeAllVotersAreIn() throws Exception {
        unstarted(3, 0, 3, "");
        for (One o : lab.all()) {
            o.start();
        }
        One founder = lab.all().get(0);
        One second = lab.all().get(1);
        One third = lab.all().get(2);
        said(founder, 0, "founding lab");
        third.signal("STOP");
        said(second, 0, "fleet: member s2.");
        Thread.sleep(1500);
        List<History.Seen> log = lab.history().of("log");
        if (log.stream().noneMatch(s -> s.words().contains("fleet: member s3."))) {
            assertThat(log).noneMatch(s -> s.words().contains("takes part"));
            assertThat(Hands.plan(second, lab.history(), "order-it", "early", 1))
                    .as("nothing is taken yet")
                    .isNull();
        }
        third.signal("CONT");
        for (One o : lab.all()) {
            joined(o, 0);
        }
        double killed = lab.history().nowMs();
        founder.signal("KILL");
        work(1, "order-it");
        until("the others take jobs", () -> Hands.plan(second, lab.history(), "order-it", "late", 1) != null);
        eachOnce(List.of("late"));
        assertThat(founder.ended(PATIENCE_MS)).isTrue();
        founder.start();
        joined(founder, killed);
    }

    /** Guards the loss of two at once: who leads the log and who owns the schedule. */
    @Test
    void theLeaderAndTheOwnerDieTogether() throws Exception {
        fleet(5, 0, 3, "");
        work(1, "order-it");
        for (int round = 0; round < 2; round++) {
            One owner = ownerBesideTheLeader();
            One leader = lab.one(page().text("leader"));
            List<String> keys = plan(30, "order-it", "r" + round + "-", 2500);
            assertThat(keys).isNotEmpty();
            double killed = lab.history().nowMs();
            owner.signal("KILL");
            leader.signal("KILL");
            until(
                    "another owns it",
                    () -> !List.of("", owner.name(), leader.name()).contains(owner("schedule")));
            onceOrGivenUp(keys);
            for (One o : List.of(owner, leader)) {
                assertThat(o.ended(PATIENCE_MS)).isTrue();
                o.start();
            }
            joined(owner, killed);
            joined(leader, killed);
        }
    }

    /** Guards a change of members: under load a voter is replaced, and the leader dies in the middle of that. */
    @Test
    void aVoterIsReplacedUnderLoadAndTheLeaderDiesMeanwhile() throws Exception {
        fleet(5, 0, 3, "");
        work(1, "order-it");
        List<String> keys = new ArrayList<>();
        One wiped = lab.all().stream()
                .filter(o -> !o.name().equals(page().text("leader")))
                .findFirst()
                .orElseThrow();
        Thread load = new Thread(() -> {
            for (int i = 0; !Thread.interrupted() && i < 2000; i++) {
                One at = lab.all().get(i % lab.all().size());
                if (at != wiped
                        && Hands.plan(at, lab.history(), "order-it", "l" + i, System.currentTimeMillis() / 1000)
                                != null) {
                    synchronized (keys) {
                        keys.add("l" + i);
                    }
                }
            }
        });
        load.start();
        double killed = lab.history().nowMs();
        try {
            wiped.signal("KILL");
            assertThat(wiped.ended(PATIENCE_MS)).isTrue();
            wiped.wipe();
            wiped.start();
            said(wiped, killed, "joining lab through");
            One leader = lab.one(page().text("leader"));
            leader.signal("KILL");
            said(wiped, killed, "fleet: member " + wiped.name() + ".");
            joined(wiped, killed);
            assertThat(leader.ended(PATIENCE_MS)).isTrue();
            double again = lab.history().nowMs();
            leader.start();
            joined(leader, again);
        } finally {
            load.interrupt();
            load.join();
        }
        assertThat(keys).hasSizeGreaterThan(50);
        onceOrGivenUp(keys);
    }
}
