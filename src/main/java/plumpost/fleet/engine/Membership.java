package plumpost.fleet.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.SetConfigurationRequest;
import org.apache.ratis.server.RaftConfiguration;
import org.apache.ratis.server.RaftServer;
import plumpost.config.PeersConfig;

/**
 * How a directory becomes a member of the engine's group. The file's first voter founds it, alone, once every other voter
 * of the file was reached and is in none; whoever else has an empty directory, also a voter whose disk was wiped, asks a
 * member that is in it and joins under its directory's new identity, in place of the old one of its name. What was
 * forgotten is therefore never voted with. Called on one thread.
 */
final class Membership {
    private final PeersConfig config;
    private final DataDirectory dataDirectory;
    private final RaftGroupId groupId;
    private final RaftPeer self;
    private final RaftServer server;
    private final Consumer<String> logLine;

    Membership(
            PeersConfig config,
            DataDirectory dataDirectory,
            RaftGroupId groupId,
            RaftPeer self,
            RaftServer server,
            Consumer<String> logLine) {
        this.config = config;
        this.dataDirectory = dataDirectory;
        this.groupId = groupId;
        this.self = self;
        this.server = server;
        this.logLine = logLine;
    }

    /** Why this directory can never be a member again, or null. */
    String lostReason() {
        return !hasGroup() && dataDirectory.wasMember()
                ? "the log of " + self.getId() + " is gone from " + dataDirectory.logPath()
                        + " and the rest is there: it must not vote with what it forgot; remove the whole directory, and it joins as "
                        + "another"
                : null;
    }

    /** Does what comes next on the way; whether this directory is a member. */
    boolean advance() throws IOException {
        if (isMember()) {
            dataDirectory.markMember();
            logLine.accept("member " + self.getId() + " of " + config.group());
            return true;
        }
        RaftGroup group = null;
        int ungrouped = 0;
        for (PeersConfig.Member member : config.members()) {
            if (group == null
                    && member.vote()
                    && !member.name().equals(config.self().name())) {
                try {
                    group = RatisSetup.queryGroup(groupId, member);
                    ungrouped += group == null ? 1 : 0;
                } catch (IOException | RuntimeException e) {
                    logLine.accept("waiting for members: " + member.name() + " is not reached");
                }
            }
        }
        if (group != null && !group.getPeers().isEmpty()) {
            join(group);
        } else if (config.voters().get(0).name().equals(config.self().name())
                && ungrouped == config.voters().size() - 1) {
            logLine.accept("founding " + config.group());
            try (RaftClient client = RatisSetup.client(RaftGroup.valueOf(groupId, self), 3)) {
                client.getGroupManagementApi(self.getId()).add(RaftGroup.valueOf(groupId, self));
            }
        }
        return false;
    }

    /** Whether this directory holds a log of the group. */
    boolean hasGroup() {
        for (RaftGroupId candidate : server.getGroupIds()) {
            if (candidate.equals(groupId)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the log's configuration, as far as it is known here, names this very directory, and no change is under way. */
    private boolean isMember() throws IOException {
        if (!hasGroup()) {
            return false;
        }
        RaftConfiguration configuration = server.getDivision(groupId).getRaftConf();
        return configuration.getPeer(self.getId(), RaftPeerRole.FOLLOWER, RaftPeerRole.LISTENER) != null
                && configuration.getPreviousPeers().isEmpty();
    }

    private void join(RaftGroup group) throws IOException {
        List<RaftPeer> others = new ArrayList<>();
        boolean selfListed = false;
        for (RaftPeer peer : group.getPeers()) {
            selfListed |= peer.getId().equals(self.getId());
            if (!PeerNameResolver.memberName(peer.getId()).equals(config.self().name())) {
                others.add(peer);
            }
        }
        if (others.isEmpty()) {
            logLine.accept(
                    "joining: the fleet knows only this scheduler's lost directory; restore it, or found the fleet anew");
            return;
        }
        if (others.size() + (selfListed ? 1 : 0) < group.getPeers().size()) {
            // The leader still feeds the old directory of this name, at this very address: two streams into one log
            // spoil
            // it. So the old one leaves first, while this process is in no group and takes nothing in.
            logLine.accept("taking the place of this name's former directory in " + config.group());
            List<RaftPeer> without = group.getPeers().stream()
                    .filter(peer -> peer.getId().equals(self.getId())
                            || !PeerNameResolver.memberName(peer.getId())
                                    .equals(config.self().name()))
                    .toList();
            changeConfiguration(RaftGroup.valueOf(groupId, without), group.getPeers(), without);
            return;
        }
        if (!hasGroup()) {
            try (RaftClient client = RatisSetup.client(RaftGroup.valueOf(groupId, self), 3)) {
                // Without itself in it: until the log names it, it neither votes nor stands for election.
                client.getGroupManagementApi(self.getId()).add(RaftGroup.valueOf(groupId, others));
            }
        }
        if (!selfListed) {
            logLine.accept("joining " + config.group() + " through " + others);
            List<RaftPeer> next = new ArrayList<>(others);
            next.add(self);
            changeConfiguration(RaftGroup.valueOf(groupId, others), group.getPeers(), next);
        }
    }

    /** Those of a configuration that vote, or those that do not. */
    static List<RaftPeer> filterByVote(Collection<RaftPeer> peers, boolean voters) {
        return peers.stream()
                .filter(peer -> (peer.getStartupRole() != RaftPeerRole.LISTENER) == voters)
                .toList();
    }

    /** Changes the group's configuration from one that is known to another; fails where it has changed meanwhile. */
    static void changeConfiguration(RaftGroup contacts, Collection<RaftPeer> current, Collection<RaftPeer> next)
            throws IOException {
        try (RaftClient client = RatisSetup.client(contacts, 5)) {
            RaftClientReply reply = client.admin()
                    .setConfiguration(SetConfigurationRequest.Arguments.newBuilder()
                            .setServersInNewConf(filterByVote(next, true))
                            .setListenersInNewConf(filterByVote(next, false))
                            .setServersInCurrentConf(filterByVote(current, true))
                            .setListenersInCurrentConf(filterByVote(current, false))
                            .setMode(SetConfigurationRequest.Mode.COMPARE_AND_SET)
                            .build());
            if (!reply.isSuccess()) {
                throw new IOException(String.valueOf(reply.getException()));
            }
        }
    }
}
