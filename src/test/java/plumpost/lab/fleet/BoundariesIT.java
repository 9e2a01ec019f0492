package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.config.Json.Fields;
import plumpost.lab.fleet.FleetLab.One;

/**
 * A scheduler is killed, or stopped and woken later, at every boundary of a deed on behalf of the fleet: before its
 * intent, between intent and deed, between deed and record. Its loop stands still just there, so no chance is in it.
 * Two of the five have no vote.
 */
@Timeout(600)
class BoundariesIT extends FleetRig {
    private record Boundary(String place, boolean owners, int least, int most, boolean givenUp) {}

    /** Where one stands still, whether as the schedule's owner, and what that may come to for an order. */
    private static final List<Boundary> ALL = List.of(
            new Boundary("before Fire", true, 1, 1, false),
            new Boundary("after Fire", true, 1, 1, false),
            new Boundary("before Begin", false, 1, 1, false),
            new Boundary("after Begin", false, 0, 0, true),
            new Boundary("before run", false, 0, 1, true),
            new Boundary("after run", false, 0, 1, true),
            new Boundary("before End", false, 1, 1, true),
            new Boundary("after End", false, 1, 1, false));

    private int round;

    /** Guards against a deed that is done again, or lost, where its doer ends or falls asleep in the middle of it. */
    @Test
    void whoeverEndsAtABoundaryLeavesEachOrderOnceOrGivenUp() throws Exception {
        fleet(3, 2, 3, "");
        for (Boundary b : ALL) {
            for (String fault : List.of("KILL", "STOP")) {
                round(b, fault, true);
            }
        }
    }

    /** Guards what may run twice: it goes on elsewhere wherever its scheduler ended. */
    @Test
    void whatMayRunTwiceGoesOnElsewhere() throws Exception {
        fleet(3, 2, 3, "");
        for (Boundary b : ALL.subList(2, 7)) {
            round(b, b.place.equals("before End") ? "KILL" : "STOP", false);
        }
    }

    private void round(Boundary b, String fault, boolean order) throws Exception {
        String function = (order ? "order-" : "plan-") + ++round;
        String key = "k" + round;
        String what = b.place + ", " + fault + ", " + function;
        One owner = ownerBesideTheLeader();
        String leader = page().text("leader");
        One runner = lab.all().stream()
                .filter(o -> o != owner && !o.name().equals(leader))
                .findFirst()
                .orElseThrow();
        One other = lab.all().stream()
                .filter(o -> o != owner && o != runner && !o.name().equals(leader))
                .findFirst()
                .orElseThrow();
        One victim = b.owners ? owner : runner;
        victim.halt(b.place, true);
        Hands first = new Hands(runner, lab.history(), 1, 1, function);
        hands.add(first);
        double at = lab.history().nowMs();
        until(
                what + ": its job is taken",
                () -> Hands.plan(other, lab.history(), function, key, System.currentTimeMillis() / 1000) != null);
        said(victim, at, "halts " + b.place);
        victim.signal(fault);
        said(other, at, victim.name() + ", incarnation ");
        Hands second = new Hands(other, lab.history(), 1, 1, function);
        hands.add(second);
        victim.halt(b.place, false);
        double woken = lab.history().nowMs();
        if (fault.equals("KILL")) {
            assertThat(victim.ended(PATIENCE_MS)).isTrue();
            victim.start();
        } else {
            victim.signal("CONT");
            said(victim, woken, "is over: ");
        }
        joined(victim, woken);
        if (order) {
            onceOrGivenUp(List.of(key));
            Fields page = page();
            assertThat(runs(key)).as(what).isBetween((long) b.least, (long) b.most);
            assertThat(givenUp(page, key)).as(what + ": given up").isEqualTo(b.givenUp);
        } else {
            until(what + ": it runs", () -> runs(key) > 0);
            until(what + ": nothing is left", () -> page().object("schedule").whole("begun") == 0);
            assertThat(runs(key)).as(what).isLessThanOrEqualTo(2);
        }
        first.close();
        second.close();
    }

    /** Guards discovery's word: an owner that was stopped between check and word is refused when it wakes. */
    @Test
    void aWordOfAnOwnerThatSleptIsRefused() throws Exception {
        try (DiscoveryStand discovery = new DiscoveryStand(3)) {
            fleet(3, 0, 1, "\"discovery\": \"127.0.0.1:" + discovery.port() + "\", ");
            for (String place : List.of("before Word", "after Word")) {
                for (String fault : List.of("STOP", "KILL")) {
                    until("the owner does not lead", () -> {
                        Fields f = page();
                        if (f.text("leader").equals(FleetLab.owner(f, "discovery/site1"))) {
                            lab.call(lab.all().get(0), "yield", "discovery/site1");
                            return false;
                        }
                        return true;
                    });
                    One owner = lab.one(owner("discovery/site1"));
                    long fence = ((Number) FleetLab.duty(page(), "discovery/site1", "fence")).longValue();
                    double at = lab.history().nowMs();
                    owner.halt(place, true);
                    said(owner, at, "halts " + place);
                    owner.signal(fault);
                    until("another owns it", () -> !owner("discovery/site1").equals(owner.name()));
                    owner.halt(place, false);
                    if (fault.equals("KILL")) {
                        assertThat(owner.ended(PATIENCE_MS)).isTrue();
                        owner.start();
                    } else {
                        owner.signal("CONT");
                        if (place.startsWith("before")) {
                            said(owner, at, "refused Word: fence " + fence + " of discovery/site1 is old");
                        }
                    }
                    joined(owner, at + 1);
                    until("all know the list", () -> {
                        for (One o : lab.all()) {
                            if (figure(o, "discovered") != 3) {
                                return false;
                            }
                        }
                        return true;
                    });
                    until("one follows", () -> discovery.followers() == 1);
                }
            }
        }
    }
}
