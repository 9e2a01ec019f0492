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
    private final DataDirectory data;
    private final RaftGroupId id;
    private final RaftPeer self;
    private final RaftServer server;
    private final Consumer<String> say;

    Membership(
            PeersConfig config,
            DataDirectory data,
            RaftGroupId id,
            RaftPeer self,
            RaftServer server,
            Consumer<String> say) {
        this.config = config;
        this.data = data;
        this.id = id;
        this.self = self;
        this.server = server;
        this.say = say;
    }

    /** Why this directory can never be a member again, or null. */
    String lost() {
        return !has() && data.wasMember()
                ? "the log of " + self.getId() + " is gone from " + data.log()
                        + " and the rest is there: it must not vote with what it forgot; remove the whole directory, and it joins as "
                        + "another"
                : null;
    }

    /** Does what comes next on the way; whether this directory is a member. */
    boolean step() throws IOException {
        if (isMember()) {
            data.member();
            say.accept("member " + self.getId() + " of " + config.group());
            return true;
        }
        RaftGroup group = null;
        int empty = 0;
        for (PeersConfig.Member m : config.members()) {
            if (group == null && m.vote() && !m.name().equals(config.self().name())) {
                try {
                    group = Engine.ask(id, m);
                    empty += group == null ? 1 : 0;
                } catch (IOException | RuntimeException e) {
                    say.accept("waiting for members: " + m.name() + " is not reached");
                }
            }
        }
        if (group != null && !group.getPeers().isEmpty()) {
            join(group);
        } else if (config.voters().get(0).name().equals(config.self().name())
                && empty == config.voters().size() - 1) {
            say.accept("founding " + config.group());
            try (RaftClient c = Engine.client(RaftGroup.valueOf(id, self), 3)) {
                c.getGroupManagementApi(self.getId()).add(RaftGroup.valueOf(id, self));
            }
        }
        return false;
    }

    /** Whether this directory holds a log of the group. */
    boolean has() {
        for (RaftGroupId g : server.getGroupIds()) {
            if (g.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the log's configuration, as far as it is known here, names this very directory, and no change is under way. */
    private boolean isMember() throws IOException {
        if (!has()) {
            return false;
        }
        RaftConfiguration c = server.getDivision(id).getRaftConf();
        return c.getPeer(self.getId(), RaftPeerRole.FOLLOWER, RaftPeerRole.LISTENER) != null
                && c.getPreviousPeers().isEmpty();
    }

    private void join(RaftGroup group) throws IOException {
        List<RaftPeer> others = new ArrayList<>();
        boolean named = false;
        for (RaftPeer p : group.getPeers()) {
            named |= p.getId().equals(self.getId());
            if (!PeerNames.name(p.getId()).equals(config.self().name())) {
                others.add(p);
            }
        }
        if (others.isEmpty()) {
            say.accept(
                    "joining: the fleet knows only this scheduler's lost directory; restore it, or found the fleet anew");
            return;
        }
        if (others.size() + (named ? 1 : 0) < group.getPeers().size()) {
            // The leader still feeds the old directory of this name, at this very address: two streams into one log
            // spoil
            // it. So the old one leaves first, while this process is in no group and takes nothing in.
            say.accept("taking the place of this name's former directory in " + config.group());
            List<RaftPeer> without = group.getPeers().stream()
                    .filter(p -> p.getId().equals(self.getId())
                            || !PeerNames.name(p.getId()).equals(config.self().name()))
                    .toList();
            configure(RaftGroup.valueOf(id, without), group.getPeers(), without);
            return;
        }
        if (!has()) {
            try (RaftClient c = Engine.client(RaftGroup.valueOf(id, self), 3)) {
                // Without itself in it: until the log names it, it neither votes nor stands for election.
                c.getGroupManagementApi(self.getId()).add(RaftGroup.valueOf(id, others));
            }
        }
        if (!named) {
            say.accept("joining " + config.group() + " through " + others);
            List<RaftPeer> next = new ArrayList<>(others);
            next.add(self);
            configure(RaftGroup.valueOf(id, others), group.getPeers(), next);
        }
    }

    /** Those of a configuration that vote, or those that do not. */
    static List<RaftPeer> role(Collection<RaftPeer> peers, boolean voters) {
        return peers.stream()
                .filter(p -> (p.getStartupRole() != RaftPeerRole.LISTENER) == voters)
                .toList();
    }

    /** Changes the group's configuration from one that is known to another; fails where it has changed meanwhile. */
    static void configure(RaftGroup through, Collection<RaftPeer> now, Collection<RaftPeer> next) throws IOException {
        try (RaftClient c = Engine.client(through, 5)) {
            RaftClientReply r = c.admin()
                    .setConfiguration(SetConfigurationRequest.Arguments.newBuilder()
                            .setServersInNewConf(role(next, true))
                            .setListenersInNewConf(role(next, false))
                            .setServersInCurrentConf(role(now, true))
                            .setListenersInCurrentConf(role(now, false))
                            .setMode(SetConfigurationRequest.Mode.COMPARE_AND_SET)
                            .build());
            if (!r.isSuccess()) {
                throw new IOException(String.valueOf(r.getException()));
            }
        }
    }
}
