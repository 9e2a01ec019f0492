package plumpost.fleet.engine;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.thirdparty.io.grpc.EquivalentAddressGroup;
import org.apache.ratis.thirdparty.io.grpc.NameResolver;
import org.apache.ratis.thirdparty.io.grpc.NameResolverProvider;
import org.apache.ratis.thirdparty.io.grpc.NameResolverRegistry;
import org.apache.ratis.thirdparty.io.grpc.Status;
import org.apache.ratis.thirdparty.io.grpc.StatusOr;
import plumpost.config.PeersConfig;

/**
 * Resolves members by name. The log stores each member as {@code peer:///NAME/ADDRESS}; the address in this scheduler's own
 * configuration takes precedence, and the one in the log is used only for members that the configuration does not name.
 */
final class PeerNameResolver extends NameResolverProvider {
    private static final Map<String, InetSocketAddress> ADDRESSES = new ConcurrentHashMap<>();
    private static boolean registered;

    /** Registers the configured addresses of all members for this process. */
    static synchronized void registerAddresses(PeersConfig config) {
        config.members().forEach(m -> ADDRESSES.put(m.name(), m.address()));
        if (!registered) {
            NameResolverRegistry.getDefaultRegistry().register(new PeerNameResolver());
            registered = true;
        }
    }

    /** Converts a member to a Raft peer. The peer's id contains the data directory's id, so that a wiped directory is another peer. */
    static RaftPeer toRaftPeer(PeersConfig.Member member, String diskId) {
        return RaftPeer.newBuilder()
                .setId(RaftPeerId.valueOf(member.name() + "." + diskId))
                .setAddress("peer:///" + member.name() + "/" + member.address().getHostString() + ":"
                        + member.address().getPort())
                .setStartupRole(member.vote() ? RaftPeerRole.FOLLOWER : RaftPeerRole.LISTENER)
                .build();
    }

    /** Returns the scheduler's name in a peer's id. */
    static String memberName(RaftPeerId id) {
        String text = id.toString();
        int dot = text.lastIndexOf('.');
        return dot < 0 ? text : text.substring(0, dot);
    }

    /** Returns the data directory's id in a peer's id. */
    static String diskId(RaftPeerId id) {
        return id.toString().substring(id.toString().lastIndexOf('.') + 1);
    }

    @Override
    protected boolean isAvailable() {
        return true;
    }

    @Override
    protected int priority() {
        return 4;
    }

    @Override
    public String getDefaultScheme() {
        return "peer";
    }

    @Override
    public NameResolver newNameResolver(URI target, NameResolver.Args args) {
        if (!"peer".equals(target.getScheme())) {
            return null;
        }
        String[] parts = target.getPath().split("/");
        return new NameResolver() {
            @Override
            public String getServiceAuthority() {
                return parts[1];
            }

            @Override
            public void start(Listener2 listener) {
                InetSocketAddress address = ADDRESSES.get(parts[1]);
                if (address == null && parts.length > 2) {
                    int colon = parts[2].lastIndexOf(':');
                    address = new InetSocketAddress(
                            parts[2].substring(0, colon), Integer.parseInt(parts[2].substring(colon + 1)));
                }
                if (address == null) {
                    listener.onError(Status.UNAVAILABLE.withDescription("no address of " + parts[1]));
                } else {
                    listener.onResult(ResolutionResult.newBuilder()
                            .setAddressesOrError(StatusOr.fromValue(List.of(new EquivalentAddressGroup(address))))
                            .build());
                }
            }

            @Override
            public void shutdown() {}
        };
    }
}
