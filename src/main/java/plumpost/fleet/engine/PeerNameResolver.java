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
 * Resolves members by name: the log knows each as {@code peer:///NAME/ADDRESS}, and each scheduler's own file says where
 * it reaches that name; the address that the log carries serves only for members that the file does not name.
 */
final class PeerNameResolver extends NameResolverProvider {
    private static final Map<String, InetSocketAddress> ADDRESSES = new ConcurrentHashMap<>();
    private static boolean registered;

    /** Takes the file's addresses over; they hold for this process. */
    static synchronized void registerAddresses(PeersConfig config) {
        config.members().forEach(m -> ADDRESSES.put(m.name(), m.address()));
        if (!registered) {
            NameResolverRegistry.getDefaultRegistry().register(new PeerNameResolver());
            registered = true;
        }
    }

    /** A member as the engine knows it; its id names its data directory too, so that a wiped one is another. */
    static RaftPeer toRaftPeer(PeersConfig.Member member, String diskId) {
        return RaftPeer.newBuilder()
                .setId(RaftPeerId.valueOf(member.name() + "." + diskId))
                .setAddress("peer:///" + member.name() + "/" + member.address().getHostString() + ":"
                        + member.address().getPort())
                .setStartupRole(member.vote() ? RaftPeerRole.FOLLOWER : RaftPeerRole.LISTENER)
                .build();
    }

    /** The scheduler's name in an engine's id. */
    static String memberName(RaftPeerId id) {
        String text = id.toString();
        int dot = text.lastIndexOf('.');
        return dot < 0 ? text : text.substring(0, dot);
    }

    /** The data directory's identity in an engine's id. */
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
