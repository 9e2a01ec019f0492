package plumpost.fleet.engine;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftConfiguration;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import plumpost.config.PeersConfig;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetCodec;
import plumpost.fleet.FleetLog;
import plumpost.fleet.FleetState;
import plumpost.fleet.HeartbeatMonitor;
import plumpost.fleet.Outcome;
import plumpost.fleet.Sessions;

/** The replicated log on Apache Ratis: proposals, heartbeats and the leader's tasks. Uses {@link Membership} to join the group. */
final class RatisLog implements FleetLog, FleetStateMachine.Listener {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long JOIN_RETRY_MS = 300;
    private static final int MAX_CONCURRENT_HEARTBEATS = 2;
    private static final int MAX_CONCURRENT_PROPOSALS = 16;
    private static final long LEADERSHIP_TRANSFER_TIMEOUT_MS = 500;
    /** The outcome of a proposal that is not answered within this time is unknown. */
    private static final long PROPOSAL_TIMEOUT_MS = 8_000;

    private final PeersConfig config;
    private final DataDirectory dataDirectory;
    private final Listener listener;
    private final Executor loop;
    private final Consumer<String> log;
    private final RaftGroupId groupId;
    private final RaftPeer self;
    /** Runs the membership tasks, which may block on other members; proposals must not wait for them. */
    private final ScheduledExecutorService background = singleThread("fleet");

    private final RaftCalls proposalCalls;
    private final RaftCalls heartbeatCalls;
    private final FleetStateMachine stateMachine;
    private final HeartbeatMonitor heartbeats;
    private RaftServer server;
    private Membership membership;
    private volatile boolean closed;
    private volatile boolean halted;
    private int openHeartbeats;
    /** The oldest index reported by the leader as applied that this member has not applied yet. */
    private long leaderAppliedIndex;
    /** When the leader reported {@link #leaderAppliedIndex}. */
    private double behindSinceMs;

    private boolean joined;
    private String lastLogged = "";

    RatisLog(
            PeersConfig config,
            DataDirectory dataDirectory,
            Listener listener,
            Executor loop,
            Consumer<String> log,
            Failpoints failpoints) {
        this.config = config;
        this.dataDirectory = dataDirectory;
        this.listener = listener;
        this.loop = loop;
        this.log = log;
        this.groupId = RatisSetup.groupId(config.group());
        this.self = PeerNameResolver.toRaftPeer(config.self(), dataDirectory.diskId());
        this.heartbeats = new HeartbeatMonitor(
                config.sessionTimeoutMs() * 2 / 3, config.sessionTimeoutMs(), 5 * POLL_INTERVAL_MS);
        this.stateMachine = new FleetStateMachine(this, this::answerQuery, failpoints);
        this.proposalCalls = new RaftCalls(
                () -> RatisSetup.memberClient(currentGroup(), config),
                MAX_CONCURRENT_PROPOSALS,
                PROPOSAL_TIMEOUT_MS,
                r -> daemonThread(r, "fleet-proposal"),
                loop);
        this.heartbeatCalls = new RaftCalls(
                () -> RatisSetup.memberClient(currentGroup(), config),
                MAX_CONCURRENT_HEARTBEATS,
                Math.round(2 * config.sessionTimeoutMs()),
                r -> daemonThread(r, "fleet-beat"),
                loop);
        PeerNameResolver.registerAddresses(config);
    }

    private static ScheduledExecutorService singleThread(String name) {
        return Executors.newSingleThreadScheduledExecutor(r -> daemonThread(r, name));
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.setContextClassLoader(RatisLog.class.getClassLoader()); // Ratis loads its classes through it
        return thread;
    }

    /** Starts the server in the background; faults in the directory's contents are reported to the listener. */
    void start() {
        background.execute(() -> {
            try {
                server = RaftServer.newBuilder()
                        .setServerId(self.getId())
                        .setProperties(RatisSetup.serverProperties(config, dataDirectory))
                        .setStateMachineRegistry(g -> stateMachine)
                        .setOption(RaftStorage.StartupOption.RECOVER)
                        .build();
                server.start();
                membership = new Membership(config, dataDirectory, groupId, self, server, this::logLine);
                loop.execute(listener::started);
                background.schedule(this::join, 0, TimeUnit.MILLISECONDS);
                background.scheduleWithFixedDelay(
                        this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } catch (IOException | RuntimeException | LinkageError e) {
                halted("the Raft server cannot start on " + dataDirectory.logPath() + ": " + rootCause(e));
            }
        });
    }

    private static String rootCause(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null && cause.getCause() != cause) {
            cause = cause.getCause();
        }
        return cause.toString();
    }

    private void logLine(String line) {
        if (!line.equals(lastLogged)) {
            lastLogged = line;
            log.accept("fleet: " + line);
        }
    }

    private void join() {
        if (closed) {
            return;
        }
        try {
            String lostReason = membership.lostReason();
            if (lostReason != null) {
                halted(lostReason);
                return;
            }
            joined = membership.advance();
        } catch (IOException | RuntimeException e) {
            logLine("joining: " + rootCause(e));
        }
        if (!joined) {
            background.schedule(this::join, JOIN_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- tasks of the leader ----

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private boolean isLeader() {
        try {
            return joined && server.getDivision(groupId).getInfo().isLeaderReady();
        } catch (IOException e) {
            return false;
        }
    }

    /** Called periodically: the leader proposes entries for members without heartbeats, and takes removed members out of the group. */
    private void poll() {
        try {
            if (closed || !joined) {
                return;
            }
            if (server.getLifeCycleState() != LifeCycle.State.RUNNING
                    || server.getDivision(groupId).getInfo().getLifeCycleState().isClosingOrClosed()) {
                halted("the Raft server has stopped");
                return;
            }
            if (!isLeader()) {
                synchronized (stateMachine) {
                    heartbeats.startLeading(nowMs());
                }
                return;
            }
            List<Entry> entries;
            List<String> removed = new ArrayList<>();
            synchronized (stateMachine) {
                entries = heartbeats.check(
                        stateMachine.state().sessions().all(),
                        server.getDivision(groupId).getInfo().getCurrentTerm(),
                        nowMs());
                for (Sessions.Session session : stateMachine.state().sessions().all()) {
                    if (session.state() == Sessions.State.REMOVED) {
                        removed.add(session.name() + "." + session.directoryId());
                    }
                }
            }
            entries.forEach(e -> propose(e, o -> {}));
            Collection<RaftPeer> current =
                    server.getDivision(groupId).getGroup().getPeers();
            raiseFormat(current);
            List<RaftPeer> next = current.stream()
                    .filter(p -> !removed.contains(p.getId().toString()))
                    .toList();
            if (next.size() < current.size()
                    && !Membership.filterByVote(next, true).isEmpty()) {
                Membership.changeConfiguration(RaftGroup.valueOf(groupId, current), current, next);
            }
        } catch (IOException | RuntimeException e) {
            logLine("as leader: " + rootCause(e));
        }
    }

    /** Proposes a newer record format once every member of the group has a live session and can read it. */
    private void raiseFormat(Collection<RaftPeer> members) {
        int newestFormat;
        synchronized (stateMachine) {
            Sessions sessions = stateMachine.state().sessions();
            newestFormat = Math.min(FleetCodec.FORMAT, sessions.commonFormat());
            if (newestFormat <= sessions.format()
                    || !members.stream()
                            .map(p -> sessions.find(PeerNameResolver.memberName(p.getId())))
                            .allMatch(s -> s != null && s.live())) {
                return;
            }
        }
        propose(
                new Entry.Raise(newestFormat),
                o -> logLine("the fleet writes record format " + newestFormat + " from now on"));
    }

    /** Answers a heartbeat or a {@code show} query; called under the state machine's lock. */
    private String answerQuery(String query) {
        String[] words = query.split(" ");
        if (words[0].equals("beat") && !isLeader()) {
            // A follower can answer linearizable reads too, but heartbeats must reach the leader.
            RaftPeerId leader = leaderId();
            return leader == null || leader.equals(self.getId()) ? "elsewhere" : "elsewhere " + leader;
        } else if (words[0].equals("beat")) {
            long incarnation = Long.parseLong(words[2]);
            // A member that has not reached a leader for this long has already stopped its duties, so that its
            // heartbeat
            // must not keep them from others.
            if (Long.parseLong(words[3]) < config.sessionTimeoutMs() * 2 / 3) {
                heartbeats.recordHeartbeat(words[1], incarnation, nowMs(), Double.parseDouble(words[4]));
            }
            return (stateMachine.state().sessions().live(words[1], incarnation) ? "live " : "over ")
                    + stateMachine.lastAppliedIndex();
        }
        return FleetJson.format(stateMachine.state(), leaderName());
    }

    private String leaderName() {
        RaftPeerId leaderId = leaderId();
        return leaderId == null ? "" : PeerNameResolver.memberName(leaderId);
    }

    // ---- FleetLog ----

    private RaftGroup currentGroup() throws IOException {
        if (!membership.hasGroup()
                || server.getDivision(groupId).getGroup().getPeers().isEmpty()) {
            throw new IOException("not a member yet");
        }
        return server.getDivision(groupId).getGroup();
    }

    /** The group as this member knows it, for its proposals. */
    private final LeaderCall.GroupView groupView = new LeaderCall.GroupView() {
        @Override
        public RaftPeerId leader() {
            return leaderId();
        }

        @Override
        public Collection<RaftPeer> members() {
            try {
                return currentGroup().getPeers();
            } catch (IOException | RuntimeException e) {
                return List.of(); // the client goes on with the members that it knows
            }
        }
    };

    /** Returns the leader's id as this member knows it, or null. */
    private RaftPeerId leaderId() {
        try {
            return server.getDivision(groupId).getInfo().getLeaderId();
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    @Override
    public void propose(Entry entry, ProposalListener proposalListener) {
        int format;
        synchronized (stateMachine) {
            format = stateMachine.state().sessions().format();
        }
        Message message = Message.valueOf(ByteString.copyFrom(FleetCodec.encode(entry, format)));
        proposalCalls.call(new LeaderCall(message, groupView), new RaftCalls.ResultListener() {
            @Override
            public void answered(RaftClientReply reply) {
                onProposalReply(reply, proposalListener);
            }

            @Override
            public void notSent(String reason) {
                proposalListener.notProposed(reason);
            }

            @Override
            public void unanswered() {
                proposalListener.unknown();
            }
        });
    }

    private void onProposalReply(RaftClientReply reply, ProposalListener proposalListener) {
        if (reply.getStateMachineException() != null) {
            proposalListener.notProposed(
                    reply.getStateMachineException().getMessage()); // refused before it entered the log
            return;
        }
        Outcome outcome = null;
        try {
            outcome = reply.isSuccess()
                    ? FleetCodec.decodeOutcome(reply.getMessage().getContent().toByteArray())
                    : null;
        } catch (FleetCodec.UnreadableException e) {
            log.accept("fleet: " + e.getMessage());
        }
        if (outcome == null) {
            proposalListener.unknown();
        } else {
            proposalListener.applied(outcome);
        }
    }

    @Override
    public void sendHeartbeat(String name, long incarnation, double msWithoutLeader, Consumer<Boolean> onResult) {
        if (openHeartbeats >= MAX_CONCURRENT_HEARTBEATS) {
            loop.execute(() -> onResult.accept(null));
            return;
        }
        openHeartbeats++; // only accessed on the event loop
        Message message = Message.valueOf(
                "beat " + name + " " + incarnation + " " + Math.round(msWithoutLeader) + " " + Math.round(behindMs()));
        heartbeatCalls.call(
                raftClient -> {
                    RaftPeerId leader = leaderId();
                    RaftClientReply reply = leader == null
                            ? raftClient.io().sendReadOnly(message)
                            : raftClient.io().sendReadOnly(message, leader);
                    String[] words = replyWords(reply);
                    return words[0].equals("elsewhere") && words.length > 1
                            ? raftClient.io().sendReadOnly(message, RaftPeerId.valueOf(words[1]))
                            : reply;
                },
                reply -> {
                    openHeartbeats--;
                    String[] words =
                            reply == null || replyWords(reply)[0].equals("elsewhere") ? null : replyWords(reply);
                    if (words != null && behindMs() == 0) {
                        leaderAppliedIndex = Long.parseLong(words[1]);
                        behindSinceMs = nowMs();
                    }
                    onResult.accept(words == null ? null : words[0].equals("live"));
                });
    }

    private static String[] replyWords(RaftClientReply reply) {
        return reply.getMessage().getContent().toStringUtf8().split(" ");
    }

    @Override
    public double behindMs() {
        return leaderAppliedIndex <= stateMachine.lastAppliedIndex() ? 0 : nowMs() - behindSinceMs;
    }

    @Override
    public long syncs() {
        return stateMachine.syncCount();
    }

    @Override
    public void close() {
        synchronized (background) {
            if (closed) {
                return;
            }
            closed = true;
        }
        proposalCalls.close();
        heartbeatCalls.close();
        background.execute(() -> {
            if (server != null) {
                if (!halted) {
                    transferLeadership();
                }
                closeQuietly(server);
            }
            closeQuietly(dataDirectory);
        });
        background.shutdown();
    }

    /** Transfers leadership to another member before an orderly shutdown, so that the fleet need not wait for an election. */
    private void transferLeadership() {
        if (!isLeader()) {
            return;
        }
        try (RaftClient client = RatisSetup.client(server.getDivision(groupId).getGroup(), 1)) {
            for (RaftPeer peer : Membership.filterByVote(
                    server.getDivision(groupId).getGroup().getPeers(), true)) {
                boolean alive;
                synchronized (stateMachine) {
                    Sessions.Session session =
                            stateMachine.state().sessions().find(PeerNameResolver.memberName(peer.getId()));
                    alive = session != null && session.state() == Sessions.State.ALIVE;
                }
                if (alive && !peer.getId().equals(self.getId())) {
                    RaftClientReply reply =
                            client.admin().transferLeadership(peer.getId(), LEADERSHIP_TRANSFER_TIMEOUT_MS);
                    logLine("leadership is transferred to " + PeerNameResolver.memberName(peer.getId())
                            + (reply.isSuccess() ? "" : ", but " + reply.getException()));
                    if (reply.isSuccess()) {
                        return;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            logLine("leadership is not transferred: " + rootCause(e));
        }
    }

    private void closeQuietly(Closeable resource) {
        try {
            resource.close();
        } catch (IOException | RuntimeException e) {
            log.accept("fleet: error on close: " + rootCause(e));
        }
    }

    // ---- FleetStateMachine.Listener, on the engine's threads ----

    @Override
    public void applied(Entry entry, long term) {
        loop.execute(() -> listener.applied(entry, term));
    }

    @Override
    public void restored(FleetState.Snapshot snapshot) {
        loop.execute(() -> listener.restored(snapshot));
    }

    /**
     * Refuses every entry until all configured voters have joined. While the fleet grows from its founder, the loss of one
     * of two voters would stop it, with duties owned and jobs already taken.
     */
    @Override
    public String refusalReason(Entry entry) {
        synchronized (stateMachine) {
            if (!stateMachine.state().sessions().all().isEmpty()) {
                return null;
            }
        }
        try {
            RaftConfiguration configuration = server.getDivision(groupId).getRaftConf();
            int present = configuration.getCurrentPeers().size();
            return configuration.getPreviousPeers().isEmpty()
                            && present >= config.voters().size()
                    ? null
                    : "the fleet is being founded: " + present + " of "
                            + config.voters().size() + " voters are in";
        } catch (IOException failure) {
            return rootCause(failure);
        }
    }

    @Override
    public void halted(String reason) {
        halted = true;
        loop.execute(() -> listener.halted(reason));
        close(); // asynchronous; a leader stops, so that another member can take over
    }
}
