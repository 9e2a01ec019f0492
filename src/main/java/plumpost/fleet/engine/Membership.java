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
 * Makes a data directory a member of the Raft group. The first voter in the configuration founds the group alone, once it
 * has reached every other configured voter and none of them is in the group. Any other scheduler with an empty directory,
 * also a voter whose disk was wiped, asks a member and joins under its directory's new id, which replaces the old id of its
 * name. A member that has lost its log therefore never votes with that loss. Not thread-safe: called on one thread.
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

    /** Returns why this directory can never be a member again, or null if it can. */
    String lostReason() {
        return !hasGroup() && dataDirectory.wasMember()
                ? "the log of " + self.getId() + " is gone from " + dataDirectory.logPath()
                        + " and the rest is there: it must not vote with what it forgot; remove the whole directory, and it joins as "
                        + "another"
                : null;
    }

    /** Takes the next step towards membership; returns whether this directory is a member. */
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

    /** Whether this directory contains a log of the group. */
    boolean hasGroup() {
        for (RaftGroupId candidate : server.getGroupIds()) {
            if (candidate.equals(groupId)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the latest Raft configuration known here names this directory and no configuration change is in progress. */
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
            // The leader still replicates to the old directory of this name at the same address, and two streams of
            // entries would corrupt the log. So the old directory is removed first, while this process is in no group
            // and accepts nothing.
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
                // The group does not contain this peer: until the log names it, it neither votes nor stands for
                // election.
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

    /** Returns the peers that vote, or those that do not. */
    static List<RaftPeer> filterByVote(Collection<RaftPeer> peers, boolean voters) {
        return peers.stream()
                .filter(peer -> (peer.getStartupRole() != RaftPeerRole.LISTENER) == voters)
                .toList();
    }

    /** Changes the group's members from {@code current} to {@code next}; fails if they have changed in the meantime. */
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
