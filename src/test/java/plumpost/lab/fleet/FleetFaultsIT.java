package plumpost.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import plumpost.lab.fleet.FleetLab.One;

/** Harder faults between several processes: one-way cuts, wiped and strange directories, a full disk, lost majorities. */
@Timeout(240)
class FleetFaultsIT extends FleetRig {

    /**
     * Guards against a late deed: an owner that hears and is not heard fires what is due, its words hang in the network
     * until another owns the duty, and arrive then: they are refused by their fence at the moment they are applied.
     */
    @Test
    void whatAnUnheardOwnerDidIsRefusedWhenItArrivesLate() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        One owner = ownerBesideTheLeader();
        long before = fence();
        long due = System.currentTimeMillis() / 1000 + 4;
        List<String> keys = planAt(30, "order-it", "o", due);
        assertThat(keys).isNotEmpty();
        // Within its lease, which is a second, the owner fires what is due, and is not heard any more.
        Thread.sleep(Math.max(0, due * 1000 - 500 - System.currentTimeMillis()));
        lab.cutOff(owner.name(), true, false, true);
        until(
                "another owns it",
                () -> lab.all().stream()
                        .anyMatch(o -> o != owner
                                && lab.history().of("log").stream()
                                        .anyMatch(s -> s.who().equals(o.name())
                                                && s.words().contains("schedule under fence")
                                                && s.words().contains(o.name() + "'s, incarnation")
                                                && s.words().contains("was " + owner.name() + "'s"))));
        double healed = lab.history().nowMs();
        lab.cutOff(owner.name(), true, false, false);
        said(
                lab.all().stream().filter(o -> o != owner).findFirst().orElseThrow(),
                healed,
                "refused Fire: fence " + before + " of schedule is old");
        joined(owner, healed);
        assertThat(fence()).isGreaterThan(before);
        onceOrGivenUp(keys);
    }

    /** Guards against an owner that is heard and hears nothing: it stops by itself, and another gets its duty. */
    @Test
    void anOwnerThatHearsNothingIsReplaced() throws Exception {
        fleet(3, 0, 3, "");
        work(1, "order-it");
        One owner = ownerBesideTheLeader();
        double cut = lab.history().nowMs();
        lab.cutOff(owner.name(), false, true, true);
        said(owner, cut, "does no fleet duty and serves on by itself");
        One other = lab.all().stream().filter(o -> o != owner).findFirst().orElseThrow();
        until("another owns it", () -> {
            String now = FleetLab.owner(lab.show(other), "schedule");
            return !now.isEmpty() && !now.equals(owner.name());
        });
        assertThat(Hands.plan(owner, lab.history(), "order-it", "nobody", 1))
                .as("refused at once, not agreed on")
                .isNull();
        until("the others take it", () -> Hands.plan(other, lab.history(), "order-it", "other", 1) != null);
        eachOnce(List.of("other"));
        double healed = lab.history().nowMs();
        lab.cutOff(owner.name(), false, true, false);
        joined(owner, healed);
    }

    /** Guards the voter whose disk was wiped, and a majority that is lost and comes back: nothing agreed on is forgotten. */
    @Test
    void aWipedVoterComesBackAsAnotherAndALostMajorityReturns() throws Exception {
        fleet(3, 0, 3, "");
        List<String> keys = plan(12, "order-it", "o", 1000);
        assertThat(keys).hasSize(12);
        One wiped = lab.one("s2");
        double killed = lab.history().nowMs();
        wiped.signal("KILL");
        assertThat(wiped.ended(PATIENCE_MS)).isTrue();
        wiped.wipe();
        wiped.start();
        said(wiped, killed, "joining lab through");
        said(wiped, killed, "fleet: member s2.");
        said(wiped, killed, "takes part");
        killed = lab.history().nowMs();
        for (String name : List.of("s1", "s3")) {
            lab.one(name).signal("KILL");
            assertThat(lab.one(name).ended(PATIENCE_MS)).isTrue();
        }
        said(wiped, killed, "does no fleet duty and serves on by itself");
        assertThat(Hands.plan(wiped, lab.history(), "order-it", "alone", 1))
                .as("no majority, no word")
                .isNull();
        lab.one("s3").start();
        joined(lab.one("s3"), killed);
        work(1, "order-it");
        eachOnce(keys);
        lab.one("s1").start();
        joined(lab.one("s1"), killed);
        lab.call(lab.one("s3"), "remove", "s1");
        said(lab.one("s1"), killed, "takes part no longer");
        assertThat(FleetLab.state(lab.show(lab.one("s3")), "s1")).isEqualTo("removed");
    }

    /** Guards the data directory: it is one process's, one scheduler's, one fleet's and of formats that are known. */
    @Test
    void aDirectoryOfAnotherIsRefused() throws Exception {
        fleet(1, 0, 1, "");
        One one = lab.all().get(0);
        Path identity = one.data().resolve("member.json");
        String text = Files.readString(identity);
        assertThat(refused(one)).contains("belongs to another process");
        one.signal("TERM");
        assertThat(one.ended(PATIENCE_MS)).isTrue();
        Files.writeString(identity, text.replace("\"lab\"", "\"other\""));
        assertThat(refused(one)).contains("field group is other, the configuration says lab");
        Files.writeString(identity, text.replace("\"s1\"", "\"s9\""));
        assertThat(refused(one)).contains("field name is s9");
        Files.writeString(identity, text.replaceFirst("\"format\":[0-9]+", "\"format\":99"));
        assertThat(refused(one)).contains("field format is 99, this program reads 1 to ");
        Files.writeString(identity, text);
        double again = lab.history().nowMs();
        one.start();
        joined(one, again);
        one.signal("KILL");
        assertThat(one.ended(PATIENCE_MS)).isTrue();
        Files.move(one.data().resolve("log"), folder.resolve("log-that-was"));
        again = lab.history().nowMs();
        one.start();
        said(one, again, "it must not vote with what it forgot");
    }

    private String refused(One one) throws Exception {
        Process p = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-jar",
                        "target/plumpost.jar",
                        "serve",
                        "--config",
                        folder.resolve(one.name() + ".json").toString())
                .start();
        try {
            String words = new String(p.getErrorStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertThat(p.waitFor()).isEqualTo(2);
            return words;
        } finally {
            p.destroyForcibly();
        }
    }

    /** Guards discovery: one asks for its site and the others follow; one cut off from that word asks itself. */
    @Test
    void oneAsksDiscoveryAndNobodyDependsOnIt() throws Exception {
        try (DiscoveryStand discovery = new DiscoveryStand(5)) {
            fleet(3, 0, 1, "\"discovery\": \"127.0.0.1:" + discovery.port() + "\", ");
            until("all know the list", () -> {
                for (One o : lab.all()) {
                    if (figure(o, "discovered") != 5) {
                        return false;
                    }
                }
                return true;
            });
            until("one follows", () -> discovery.followers() == 1);
            int asked = discovery.asked;
            Thread.sleep(3000);
            assertThat(discovery.asked)
                    .as("while it goes well nobody else asks")
                    .isEqualTo(asked);
            One owner = lab.one(owner("discovery/site1"));
            owner.signal("KILL");
            until(
                    "another follows",
                    () -> discovery.followers() == 1
                            && !owner("discovery/site1").equals(owner.name()));
            double started = lab.history().nowMs();
            owner.start();
            joined(owner, started);
            until("it knows the list too", () -> figure(owner, "discovered") == 5);
            until("still one follows", () -> discovery.followers() == 1);
            One cut = lab.all().stream()
                    .filter(o -> !o.name().equals(owner("discovery/site1")))
                    .findFirst()
                    .orElseThrow();
            lab.cutOff(cut.name(), true, true, true);
            until("the one cut off asks itself", () -> discovery.followers() == 2);
            lab.cutOff(cut.name(), true, true, false);
            until("it follows again", () -> discovery.followers() == 1);
        }
    }

    /** Guards a member whose disk is full: it says so and serves on by itself, the others go on, and it comes back. */
    @Test
    void aFullDiskAtTheLeaderCostsTheFleetNothing() throws Exception {
        unstarted(3, 0, 3, "");
        // The first voter founds the fleet and leads at first; its files may not grow over so many KiB.
        lab.all().get(0).start(List.of("/bin/sh", "-c", "ulimit -f 400; exec \"$@\"", "sh"));
        lab.all().get(1).start();
        lab.all().get(2).start();
        for (One o : lab.all()) {
            joined(o, 0);
        }
        work(1, "order-it");
        List<String> keys = new ArrayList<>();
        One full = lab.all().get(0);
        One other = lab.all().get(1);
        until("its disk is full", () -> {
            String key = "x".repeat(900) + keys.size();
            if (Hands.plan(other, lab.history(), "order-it", key, 1) != null) {
                keys.add(key);
            }
            return lab.history().of("log").stream()
                    .anyMatch(s -> s.who().equals(full.name()) && s.words().contains("takes part no longer"));
        });
        until("the others go on", () -> Hands.plan(other, lab.history(), "order-it", "after", 1) != null);
        assertThat(full.runs()).as("it serves on").isTrue();
        assertThat(call(full, "n1/offline")).as("and answers").isEqualTo(404);
        keys.add("after");
        onceOrGivenUp(keys);
        full.signal("KILL");
        assertThat(full.ended(PATIENCE_MS)).isTrue();
        double again = lab.history().nowMs();
        full.start();
        joined(full, again);
    }
}
