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

/** Derives the Ratis properties from the configuration and creates Ratis clients. */
final class RatisSetup {
    /** Pause between two attempts of a client. */
    private static final double RETRY_PAUSE_MS = 100;

    private RatisSetup() {}

    /** Returns the Raft group id of a fleet, derived from its name so that two fleets never mix. */
    static RaftGroupId groupId(String name) {
        return RaftGroupId.valueOf(
                UUID.nameUUIDFromBytes(("plumpost fleet " + name).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private static TimeDuration millis(double value) {
        return TimeDuration.valueOf(Math.round(value), TimeUnit.MILLISECONDS);
    }

    /** Returns a member's server properties: a new leader within about half of {@code lostMs}, small buffers, a bounded log. */
    static RaftProperties serverProperties(PeersConfig config, DataDirectory dataDirectory) {
        RaftProperties properties = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(
                properties, List.of(dataDirectory.logPath().toFile()));
        GrpcConfigKeys.Server.setHost(properties, config.self().address().getHostString());
        GrpcConfigKeys.Server.setPort(properties, config.self().address().getPort());
        GrpcConfigKeys.Server.setAsyncRequestThreadPoolSize(properties, 4);
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf(4L * FleetCodec.MAX_ENTRY_BYTES));
        double electionTimeoutMs = Math.max(100, config.sessionTimeoutMs() / 3);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, millis(electionTimeoutMs));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, millis(electionTimeoutMs * 2));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, millis(electionTimeoutMs));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, millis(electionTimeoutMs * 2));
        // A follower acknowledges an entry after its disk has synced it. With a shorter timeout the leader would send
        // entries again, and each would be queued twice on a slow disk.
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, millis(Math.max(1000, 2 * config.sessionTimeoutMs())));
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(properties, millis(electionTimeoutMs * 2));
        RaftServerConfigKeys.LeaderElection.setPreVote(properties, true);
        RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setTimeout(properties, millis(config.sessionTimeoutMs() / 2));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(4L * FleetCodec.MAX_ENTRY_BYTES));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf(3L * FleetCodec.MAX_ENTRY_BYTES));
        RaftServerConfigKeys.Log.setSegmentCacheNumMax(properties, 2);
        RaftServerConfigKeys.Log.setSegmentCacheSizeMax(
                properties, SizeInBytes.valueOf(8L * FleetCodec.MAX_ENTRY_BYTES));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, 1);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(
                properties, SizeInBytes.valueOf(2L * FleetCodec.MAX_ENTRY_BYTES));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, config.snapshotEvery());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        return properties;
    }

    /** Creates a client of a group, or of members outside of it, with a timeout of one second for each attempt. */
    static RaftClient client(RaftGroup group, int maxAttempts) {
        return client(group, maxAttempts, 1000);
    }

    /**
     * Creates a member's own client, which does not retry by itself. Each attempt times out after a quarter of {@code lostMs},
     * so that no lease is lost when the leader hangs or ends.
     */
    static RaftClient memberClient(RaftGroup group, PeersConfig config) {
        return client(group, 0, Math.max(100, config.sessionTimeoutMs() / 4));
    }

    private static RaftClient client(RaftGroup group, int maxAttempts, double attemptTimeoutMs) {
        RaftProperties properties = new RaftProperties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(attemptTimeoutMs));
        RaftClientConfigKeys.Async.Experimental.setSendDummyRequest(
                properties, false); // it fails at a leader that is not ready
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf(4L * FleetCodec.MAX_ENTRY_BYTES));
        return RaftClient.newBuilder()
                .setProperties(properties)
                .setRaftGroup(group)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(maxAttempts, millis(RETRY_PAUSE_MS)))
                .build();
    }

    /** Asks a member for the group and its members as it knows them; null if the member is not in the group. */
    static RaftGroup queryGroup(RaftGroupId groupId, PeersConfig.Member member) throws IOException {
        RaftPeer peer = PeerNameResolver.toRaftPeer(member, "asked"); // its directory's id is not known yet
        try (RaftClient client = client(RaftGroup.valueOf(groupId, peer), 1)) {
            if (!client.getGroupManagementApi(peer.getId()).list().getGroupIds().contains(groupId)) {
                return null;
            }
            GroupInfoReply info = client.getGroupManagementApi(peer.getId()).info(groupId);
            return info.getGroup();
        }
    }
}
