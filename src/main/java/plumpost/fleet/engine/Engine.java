package plumpost.fleet.engine;

import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.GroupInfoReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import plumpost.config.PeersConfig;
import plumpost.fleet.FleetCodec;

/** The engine's settings, derived from the file's, and calls to members that are not in a group yet. */
final class Engine {
    /** Between two tries of a client. */
    private static final double PAUSE_MS = 100;

    private Engine() {}

    /** The engine's id of a fleet's group: drawn from its name, so that two fleets never mix. */
    static RaftGroupId group(String name) {
        return RaftGroupId.valueOf(
                UUID.nameUUIDFromBytes(("plumpost fleet " + name).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private static TimeDuration ms(double ms) {
        return TimeDuration.valueOf(Math.round(ms), TimeUnit.MILLISECONDS);
    }

    /** What a member's server runs with: a new leader within about half of {@code lostMs}, small buffers, a bounded log. */
    static RaftProperties server(PeersConfig c, DataDirectory data) {
        RaftProperties p = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(p, List.of(data.log().toFile()));
        GrpcConfigKeys.Server.setHost(p, c.self().address().getHostString());
        GrpcConfigKeys.Server.setPort(p, c.self().address().getPort());
        GrpcConfigKeys.Server.setAsyncRequestThreadPoolSize(p, 4);
        GrpcConfigKeys.setMessageSizeMax(p, SizeInBytes.valueOf(4L * FleetCodec.MOST_BYTES));
        double election = Math.max(100, c.lostMs() / 3);
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, ms(election));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, ms(election * 2));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(p, ms(election));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(p, ms(election * 2));
        // A follower answers an entry when its disk has it: sent again before that, each entry queues twice on a slow
        // disk.
        RaftServerConfigKeys.Rpc.setRequestTimeout(p, ms(Math.max(1000, 2 * c.lostMs())));
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(p, ms(election * 2));
        RaftServerConfigKeys.LeaderElection.setPreVote(p, true);
        RaftServerConfigKeys.Read.setOption(p, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setTimeout(p, ms(c.lostMs() / 2));
        RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf(4L * FleetCodec.MOST_BYTES));
        RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(3L * FleetCodec.MOST_BYTES));
        RaftServerConfigKeys.Log.setSegmentCacheNumMax(p, 2);
        RaftServerConfigKeys.Log.setSegmentCacheSizeMax(p, SizeInBytes.valueOf(8L * FleetCodec.MOST_BYTES));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftServerConfigKeys.Log.setPurgeGap(p, 1);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(p, SizeInBytes.valueOf(2L * FleetCodec.MOST_BYTES));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, c.snapshotEvery());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, 2);
        return p;
    }

    /** A client of a group, or of members that are not in it yet; each try has a second, and there are so many. */
    static RaftClient client(RaftGroup group, int tries) {
        return client(group, tries, 1000);
    }

    /**
     * A member's own client: a try has a quarter of {@code lostMs}, so that a leader that hangs or ends costs no lease,
     * and there are as many as the longest call may take.
     */
    static RaftClient own(RaftGroup group, PeersConfig c, double longestMs) {
        double tryMs = Math.max(100, c.lostMs() / 4);
        return client(group, (int) Math.ceil(longestMs / (tryMs + PAUSE_MS)), tryMs);
    }

    private static RaftClient client(RaftGroup group, int tries, double tryMs) {
        RaftProperties p = new RaftProperties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(p, ms(tryMs));
        RaftClientConfigKeys.Async.Experimental.setSendDummyRequest(p, false); // fails at a leader that is not ready
        GrpcConfigKeys.setMessageSizeMax(p, SizeInBytes.valueOf(4L * FleetCodec.MOST_BYTES));
        return RaftClient.newBuilder()
                .setProperties(p)
                .setRaftGroup(group)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(tries, ms(PAUSE_MS)))
                .build();
    }

    /** What a member says of the group: the group with its members as that one knows them, or null: it is in none. */
    static RaftGroup ask(RaftGroupId id, PeersConfig.Member m) throws IOException {
        RaftPeer peer = PeerNames.peer(m, "asked"); // its directory's identity is what is to be learned
        try (RaftClient c = client(RaftGroup.valueOf(id, peer), 1)) {
            if (!c.getGroupManagementApi(peer.getId()).list().getGroupIds().contains(id)) {
                return null;
            }
            GroupInfoReply info = c.getGroupManagementApi(peer.getId()).info(id);
            return info.getGroup();
        }
    }
}
