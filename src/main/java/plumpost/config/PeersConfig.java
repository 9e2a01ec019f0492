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
 * The section {@code peers}: the fleet that this scheduler belongs to; see docs/fleet-duties.md.
 *
 * @param group the fleet's name; a data directory of another fleet is refused
 * @param data the data directory, which one process uses exclusively
 * @param self the member that is this scheduler
 * @param members all schedulers of the fleet, including this one
 * @param heartbeatMs interval between heartbeats to the log's leader
 * @param sessionTimeoutMs time without a heartbeat after which a session is declared lost; an owner stops on its own after two thirds of it
 * @param discoveryAgeMs maximum age of the owner's discovery data before each scheduler asks discovery itself
 * @param snapshotEvery number of log entries between snapshots
 * @param queriesDiscovery whether this scheduler can ask discovery
 * @param covered which running jobs the fleet's ledger covers
 */
public record PeersConfig(
        String group,
        Path data,
        Member self,
        List<Member> members,
        double heartbeatMs,
        double sessionTimeoutMs,
        double discoveryAgeMs,
        long snapshotEvery,
        boolean queriesDiscovery,
        Covered covered) {

    /**
     * Running jobs that survive the loss of their scheduler.
     *
     * @param classes names of the covered classes, empty if the feature is off
     * @param awaitMs after the loss of a scheduler, how long to wait for a worker before its order is given up
     * @param keepMs how long an order's outcome is kept for clients that submit it again
     */
    public record Covered(Set<String> classes, double awaitMs, double keepMs) {
        /** No class is covered. */
        public static final Covered NONE = new Covered(Set.of(), 10_000, 300_000);
    }

    /** One scheduler of the fleet; one, three or five of them have a vote. */
    public record Member(String name, InetSocketAddress address, String site, boolean vote) {}

    /** The keys of the section. */
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

    /** Maximum number of members; the fleet's state has the same limit. */
    public static final int MAX_MEMBERS = 1024;

    /**
     * Reads the section for the scheduler of the given name; {@code dataOverride}, if not null, replaces its {@code data}.
     * Throws {@link BadInput} if a setting is invalid.
     */
    public static PeersConfig read(Fields section, String name, String dataOverride, boolean asks) {
        section.allowOnly(SETTINGS.toArray(String[]::new));
        List<Member> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Object item : section.list("members")) {
            Fields member = Json.fields(section.context() + ".members[" + members.size() + "]", item);
            member.allowOnly("name", "address", "site", "vote");
            String memberName = member.text("name");
            if (!memberName.matches("[A-Za-z0-9_-]{1,64}")) {
                throw new BadInput(
                        member.context() + ": field name is " + memberName + ", not 1 to 64 letters, digits, - and _");
            }
            if (!names.add(memberName)) {
                throw new BadInput(member.context() + ": field name is " + memberName + ", which another member bears");
            }
            members.add(new Member(
                    memberName,
                    NodeListReader.parseAddress(member.context() + ".address", member.text("address")),
                    member.text("site", ""),
                    member.flag("vote", false)));
        }
        if (members.size() > MAX_MEMBERS) {
            throw new BadInput(
                    section.context() + ": field members has " + members.size() + " members, at most " + MAX_MEMBERS);
        }
        long voterCount = members.stream().filter(Member::vote).count();
        if (voterCount != 1 && voterCount != 3 && voterCount != 5) {
            throw new BadInput(section.context() + ": field members gives " + voterCount + " a vote, not 1, 3 or 5");
        }
        Member self = members.stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow(() ->
                        new BadInput(section.context() + ": field members does not name this scheduler, " + name));
        String data = dataOverride == null ? section.text("data") : dataOverride;
        if (data.isEmpty()) {
            throw new BadInput(section.context() + ": field data is empty");
        }
        double sessionTimeoutMs = section.numberInRange("lostMs", 1500, 200, 600_000);
        return new PeersConfig(
                section.text("group", "plumpost"),
                Path.of(data),
                self,
                List.copyOf(members),
                section.numberInRange("beatMs", 250, 10, sessionTimeoutMs / 3),
                sessionTimeoutMs,
                section.numberInRange("discoveryAgeMs", 5000, 100, 600_000),
                section.integer("snapshotEvery", 10_000, 10, 10_000_000),
                asks,
                covered(section));
    }

    private static Covered covered(Fields section) {
        Set<String> classes = new LinkedHashSet<>();
        if (section.has("covers")) {
            for (Object item : section.list("covers")) {
                if (!(item instanceof String name) || !classes.add(name)) {
                    throw new BadInput(
                            section.context() + ": field covers holds " + item + ", not names of classes, each once");
                }
            }
        }
        return new Covered(
                Set.copyOf(classes),
                section.numberInRange("awaitMs", Covered.NONE.awaitMs, 100, 3_600_000),
                section.numberInRange("keepMs", Covered.NONE.keepMs, 1000, 86_400_000));
    }

    /** Reads the section of a configuration for a command to the fleet; throws {@link BadInput} if there is none. */
    public static PeersConfig fromNodeConfig(NodeConfig config) {
        if (config.peers() == null) {
            throw new BadInput("configuration: field peers is missing: " + config.name() + " is in no fleet");
        }
        return read(config.peers(), config.name(), null, false);
    }

    /** Returns the members with a vote in the configured order; the first one founds the fleet. */
    public List<Member> voters() {
        return members.stream().filter(Member::vote).toList();
    }
}
