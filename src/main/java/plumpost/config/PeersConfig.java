package plumpost.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/**
 * The section {@code peers}: the schedulers that this one may talk to; see docs/fleet-duties.md.
 *
 * @param group the fleet's name; a data directory of another fleet is refused
 * @param data the data directory, which belongs to one process
 * @param self this scheduler among the members
 * @param members all schedulers of the fleet, this one too
 * @param beatMs how often a scheduler lets the log's leader hear it
 * @param lostMs for how long nothing is heard before a life is called lost; an owner stops by itself at two thirds of it
 * @param discoveryAgeMs how old the owner's word on discovery may be before each asks itself
 * @param snapshotEvery log entries between snapshots
 * @param asks whether this scheduler can ask discovery
 * @param covered what of work in hand the fleet's ledger covers
 */
public record PeersConfig(
        String group,
        Path data,
        Member self,
        List<Member> members,
        double beatMs,
        double lostMs,
        double discoveryAgeMs,
        long snapshotEvery,
        boolean asks,
        Covered covered) {

    /**
     * Work in hand that survives its scheduler.
     *
     * @param classes names of the classes; none where it is off
     * @param awaitMs how long a worker is waited for whose scheduler was lost, before its order is given up
     * @param keepMs how long an order's outcome is kept for who comes again
     */
    public record Covered(Set<String> classes, double awaitMs, double keepMs) {
        /** Nothing is covered. */
        public static final Covered NONE = new Covered(Set.of(), 10_000, 300_000);
    }

    /** One scheduler: three or five of all have a vote. */
    public record Member(String name, InetSocketAddress address, String site, boolean vote) {}

    /** The names of the section's settings. */
    static final List<String> SETTINGS = List.of(
            "group",
            "data",
            "members",
            "beatMs",
            "lostMs",
            "discoveryAgeMs",
            "snapshotEvery",
            "covers",
            "awaitMs",
            "keepMs");

    /** Members at once: what the fleet's book holds as well. */
    public static final int MOST_MEMBERS = 1024;

    /** Reads the section for the scheduler of that name; {@code dataBefore}, where not null, goes before its {@code data}. */
    public static PeersConfig read(Fields f, String name, String dataBefore, boolean asks) {
        f.only(SETTINGS.toArray(String[]::new));
        List<Member> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Object o : f.list("members")) {
            Fields m = Json.fields(f.where() + ".members[" + members.size() + "]", o);
            m.only("name", "address", "site", "vote");
            String who = m.text("name");
            if (!who.matches("[A-Za-z0-9_-]{1,64}")) {
                throw new BadInput(m.where() + ": field name is " + who + ", not 1 to 64 letters, digits, - and _");
            }
            if (!names.add(who)) {
                throw new BadInput(m.where() + ": field name is " + who + ", which another member bears");
            }
            members.add(new Member(
                    who,
                    NodeListReader.address(m.where() + ".address", m.text("address")),
                    m.text("site", ""),
                    m.flag("vote", false)));
        }
        if (members.size() > MOST_MEMBERS) {
            throw new BadInput(
                    f.where() + ": field members has " + members.size() + " members, at most " + MOST_MEMBERS);
        }
        long votes = members.stream().filter(Member::vote).count();
        if (votes != 1 && votes != 3 && votes != 5) {
            throw new BadInput(f.where() + ": field members gives " + votes + " a vote, not 1, 3 or 5");
        }
        Member self = members.stream()
                .filter(m -> m.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new BadInput(f.where() + ": field members does not name this scheduler, " + name));
        String data = dataBefore == null ? f.text("data") : dataBefore;
        if (data.isEmpty()) {
            throw new BadInput(f.where() + ": field data is empty");
        }
        double lost = f.between("lostMs", 1500, 200, 600_000);
        return new PeersConfig(
                f.text("group", "plumpost"),
                Path.of(data),
                self,
                List.copyOf(members),
                f.between("beatMs", 250, 10, lost / 3),
                lost,
                f.between("discoveryAgeMs", 5000, 100, 600_000),
                f.whole("snapshotEvery", 10_000, 10, 10_000_000),
                asks,
                covered(f));
    }

    private static Covered covered(Fields f) {
        Set<String> classes = new LinkedHashSet<>();
        if (f.has("covers")) {
            for (Object o : f.list("covers")) {
                if (!(o instanceof String name) || !classes.add(name)) {
                    throw new BadInput(f.where() + ": field covers holds " + o + ", not names of classes, each once");
                }
            }
        }
        return new Covered(
                Set.copyOf(classes),
                f.between("awaitMs", Covered.NONE.awaitMs, 100, 3_600_000),
                f.between("keepMs", Covered.NONE.keepMs, 1000, 86_400_000));
    }

    /** The section of a whole file, for a command to the fleet; bad input where there is none. */
    public static PeersConfig of(NodeConfig c) {
        if (c.peers() == null) {
            throw new BadInput("configuration: field peers is missing: " + c.name() + " is in no fleet");
        }
        return read(c.peers(), c.name(), null, false);
    }

    /** The members with a vote, in the file's order; the first of them founds the fleet. */
    public List<Member> voters() {
        return members.stream().filter(Member::vote).toList();
    }
}
