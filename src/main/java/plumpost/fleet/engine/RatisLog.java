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
import plumpost.fleet.Beats;
import plumpost.fleet.Entry;
import plumpost.fleet.FleetBook;
import plumpost.fleet.FleetCodec;
import plumpost.fleet.FleetLog;
import plumpost.fleet.Outcome;
import plumpost.fleet.Sessions;

/** The replicated log on Apache Ratis: proposals, beats, and the leader's part; it becomes a member by {@link Membership}. */
final class RatisLog implements FleetLog, BookMachine.Listener {
    private static final long LOOK_MS = 100;
    private static final long TRY_MS = 300;
    private static final int MOST_BEATS = 2;
    private static final int WRITERS = 16;
    private static final long HAND_OVER_MS = 500;
    /** What is not answered for so long is taken for not known. */
    private static final long LONGEST_MS = 8_000;

    private final PeersConfig config;
    private final DataDirectory data;
    private final Ear ear;
    private final Executor loop;
    private final Consumer<String> log;
    private final RaftGroupId id;
    private final RaftPeer self;
    /** Becoming and staying a member may wait for others; what is proposed must not wait for that. */
    private final ScheduledExecutorService own = thread("fleet");

    private final Calls proposals;
    private final Calls beating;
    private final BookMachine machine;
    private final Beats ears;
    private RaftServer server;
    private Membership membership;
    private volatile boolean closed;
    private volatile boolean halted;
    private int beats;
    /** The oldest word of the leader on how far the log is applied that has not come true here, and since when. */
    private long behind;

    private double behindSince;
    private boolean settled;
    private String said = "";

    RatisLog(PeersConfig config, DataDirectory data, Ear ear, Executor loop, Consumer<String> log, Trials trials) {
        this.config = config;
        this.data = data;
        this.ear = ear;
        this.loop = loop;
        this.log = log;
        this.id = Engine.group(config.group());
        this.self = PeerNames.peer(config.self(), data.disk());
        this.ears = new Beats(config.lostMs() * 2 / 3, config.lostMs(), 5 * LOOK_MS);
        this.machine = new BookMachine(this, this::answer, trials);
        this.proposals = new Calls(
                () -> Engine.own(members(), config, LONGEST_MS),
                WRITERS,
                LONGEST_MS,
                r -> named(r, "fleet-proposal"),
                loop);
        this.beating = new Calls(
                () -> Engine.own(members(), config, 0),
                MOST_BEATS,
                Math.round(2 * config.lostMs()),
                r -> named(r, "fleet-beat"),
                loop);
        PeerNames.know(config);
    }

    private static ScheduledExecutorService thread(String name) {
        return Executors.newSingleThreadScheduledExecutor(r -> named(r, name));
    }

    private static Thread named(Runnable r, String name) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        t.setContextClassLoader(RatisLog.class.getClassLoader()); // the engine looks its own classes up by it
        return t;
    }

    /** Starts the engine in the background; what is wrong with the directory's content is told to the ear. */
    void start() {
        own.execute(() -> {
            try {
                server = RaftServer.newBuilder()
                        .setServerId(self.getId())
                        .setProperties(Engine.server(config, data))
                        .setStateMachineRegistry(g -> machine)
                        .setOption(RaftStorage.StartupOption.RECOVER)
                        .build();
                server.start();
                membership = new Membership(config, data, id, self, server, this::say);
                loop.execute(ear::started);
                own.schedule(this::settle, 0, TimeUnit.MILLISECONDS);
                own.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            } catch (IOException | RuntimeException | LinkageError e) {
                halted("the engine does not start on " + data.log() + ": " + cause(e));
            }
        });
    }

    private static String cause(Throwable e) {
        Throwable t = e;
        while (t.getCause() != null && t.getCause() != t) {
            t = t.getCause();
        }
        return t.toString();
    }

    private void say(String words) {
        if (!words.equals(said)) {
            said = words;
            log.accept("fleet: " + words);
        }
    }

    private void settle() {
        if (closed) {
            return;
        }
        try {
            String lost = membership.lost();
            if (lost != null) {
                halted(lost);
                return;
            }
            settled = membership.step();
        } catch (IOException | RuntimeException e) {
            say("joining: " + cause(e));
        }
        if (!settled) {
            own.schedule(this::settle, TRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- the leader's part ----

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private boolean leads() {
        try {
            return settled && server.getDivision(id).getInfo().isLeaderReady();
        } catch (IOException e) {
            return false;
        }
    }

    /** Called at intervals: the leader tells who is not heard, and takes removed members out of the engine's group. */
    private void look() {
        try {
            if (closed || !settled) {
                return;
            }
            if (server.getLifeCycleState() != LifeCycle.State.RUNNING
                    || server.getDivision(id).getInfo().getLifeCycleState().isClosingOrClosed()) {
                halted("the engine has stopped");
                return;
            }
            if (!leads()) {
                synchronized (machine) {
                    ears.lead(nowMs());
                }
                return;
            }
            List<Entry> due;
            List<String> gone = new ArrayList<>();
            synchronized (machine) {
                due = ears.look(
                        machine.book().sessions().all(),
                        server.getDivision(id).getInfo().getCurrentTerm(),
                        nowMs());
                for (Sessions.Session s : machine.book().sessions().all()) {
                    if (s.state() == Sessions.State.REMOVED) {
                        gone.add(s.name() + "." + s.disk());
                    }
                }
            }
            due.forEach(e -> propose(e, o -> {}));
            Collection<RaftPeer> now = server.getDivision(id).getGroup().getPeers();
            raise(now);
            List<RaftPeer> next = now.stream()
                    .filter(p -> !gone.contains(p.getId().toString()))
                    .toList();
            if (next.size() < now.size() && !Membership.role(next, true).isEmpty()) {
                Membership.configure(RaftGroup.valueOf(id, now), now, next);
            }
        } catch (IOException | RuntimeException e) {
            say("as leader: " + cause(e));
        }
    }

    /** Has the fleet write a newer record format once each member of the log lives and reads it. */
    private void raise(Collection<RaftPeer> members) {
        int newest;
        synchronized (machine) {
            Sessions all = machine.book().sessions();
            newest = Math.min(FleetCodec.FORMAT, all.reads());
            if (newest <= all.format()
                    || !members.stream()
                            .map(p -> all.of(PeerNames.name(p.getId())))
                            .allMatch(s -> s != null && s.live())) {
                return;
            }
        }
        propose(new Entry.Raise(newest), o -> say("the fleet writes record format " + newest + " from now on"));
    }

    /** Answers a question to the leader: called under the machine's lock. */
    private String answer(String question) {
        String[] words = question.split(" ");
        if (words[0].equals("beat") && !leads()) {
            // A follower answers reads as surely as the leader, but it is the leader that has to hear a life.
            RaftPeerId leader = leader();
            return leader == null || leader.equals(self.getId()) ? "elsewhere" : "elsewhere " + leader;
        } else if (words[0].equals("beat")) {
            long incarnation = Long.parseLong(words[2]);
            if (Long.parseLong(words[3]) < config.lostMs() * 2 / 3) {
                ears.beat(words[1], incarnation, nowMs(), Double.parseDouble(words[4]));
            }
            return (machine.book().sessions().live(words[1], incarnation) ? "live " : "over ") + machine.at();
        }
        return FleetPage.json(machine.book(), leaderName());
    }

    private String leaderName() {
        RaftPeerId leader = leader();
        return leader == null ? "" : PeerNames.name(leader);
    }

    // ---- FleetLog ----

    private RaftGroup members() throws IOException {
        if (!membership.has() || server.getDivision(id).getGroup().getPeers().isEmpty()) {
            throw new IOException("not a member yet");
        }
        return server.getDivision(id).getGroup();
    }

    /** The leader as this member knows it, or null. */
    private RaftPeerId leader() {
        try {
            return server.getDivision(id).getInfo().getLeaderId();
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    @Override
    public void propose(Entry e, Consumer<Outcome> then) {
        int format;
        synchronized (machine) {
            format = machine.book().sessions().format();
        }
        Message m = Message.valueOf(ByteString.copyFrom(FleetCodec.bytes(e, format)));
        proposals.call(c -> c.io().send(m), reply -> {
            try {
                then.accept(
                        reply == null
                                ? null
                                : FleetCodec.outcome(
                                        reply.getMessage().getContent().toByteArray()));
            } catch (FleetCodec.Unreadable x) {
                log.accept("fleet: " + x.getMessage());
                then.accept(null);
            }
        });
    }

    @Override
    public void beat(String name, long incarnation, double deafMs, Consumer<Boolean> then) {
        if (beats >= MOST_BEATS) {
            loop.execute(() -> then.accept(null));
            return;
        }
        beats++; // on the loop only
        Message m = Message.valueOf(
                "beat " + name + " " + incarnation + " " + Math.round(deafMs) + " " + Math.round(behindMs()));
        beating.call(
                c -> {
                    RaftPeerId leader = leader();
                    RaftClientReply r = leader == null ? c.io().sendReadOnly(m) : c.io().sendReadOnly(m, leader);
                    String[] words = words(r);
                    return words[0].equals("elsewhere") && words.length > 1
                            ? c.io().sendReadOnly(m, RaftPeerId.valueOf(words[1]))
                            : r;
                },
                reply -> {
                    beats--;
                    String[] words = reply == null || words(reply)[0].equals("elsewhere") ? null : words(reply);
                    if (words != null && behindMs() == 0) {
                        behind = Long.parseLong(words[1]);
                        behindSince = nowMs();
                    }
                    then.accept(words == null ? null : words[0].equals("live"));
                });
    }

    private static String[] words(RaftClientReply r) {
        return r.getMessage().getContent().toStringUtf8().split(" ");
    }

    @Override
    public double behindMs() {
        return behind <= machine.at() ? 0 : nowMs() - behindSince;
    }

    @Override
    public long syncs() {
        return machine.syncs();
    }

    @Override
    public void close() {
        synchronized (own) {
            if (closed) {
                return;
            }
            closed = true;
        }
        proposals.close();
        beating.close();
        own.execute(() -> {
            if (server != null) {
                if (!halted) {
                    handOver();
                }
                shut(server);
            }
            shut(data);
        });
        own.shutdown();
    }

    /** A leader that ends in order lets another one lead first: nobody then waits for an election. */
    private void handOver() {
        if (!leads()) {
            return;
        }
        try (RaftClient c = Engine.client(server.getDivision(id).getGroup(), 1)) {
            for (RaftPeer p : Membership.role(server.getDivision(id).getGroup().getPeers(), true)) {
                boolean alive;
                synchronized (machine) {
                    Sessions.Session s = machine.book().sessions().of(PeerNames.name(p.getId()));
                    alive = s != null && s.state() == Sessions.State.ALIVE;
                }
                if (alive && !p.getId().equals(self.getId())) {
                    RaftClientReply r = c.admin().transferLeadership(p.getId(), HAND_OVER_MS);
                    say("leadership is passed on to " + PeerNames.name(p.getId())
                            + (r.isSuccess() ? "" : ", but " + r.getException()));
                    if (r.isSuccess()) {
                        return;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            say("leadership is not passed on: " + cause(e));
        }
    }

    private void shut(Closeable what) {
        try {
            what.close();
        } catch (IOException | RuntimeException e) {
            log.accept("fleet: closing: " + cause(e));
        }
    }

    // ---- BookMachine.Listener, on the engine's threads ----

    @Override
    public void applied(Entry e, long term) {
        loop.execute(() -> ear.applied(e, term));
    }

    @Override
    public void restored(FleetBook.Image image) {
        loop.execute(() -> ear.restored(image));
    }

    /**
     * Nothing is agreed on before all voters of the file are in: while the fleet grows from its founder, the loss of
     * one of two voters would stand it still, with duties owned and jobs taken.
     */
    @Override
    public String refuses(Entry e) {
        synchronized (machine) {
            if (!machine.book().sessions().all().isEmpty()) {
                return null;
            }
        }
        try {
            RaftConfiguration c = server.getDivision(id).getRaftConf();
            int in = c.getCurrentPeers().size();
            return c.getPreviousPeers().isEmpty() && in >= config.voters().size()
                    ? null
                    : "the fleet is being founded: " + in + " of "
                            + config.voters().size() + " voters are in";
        } catch (IOException x) {
            return cause(x);
        }
    }

    @Override
    public void halted(String why) {
        halted = true;
        loop.execute(() -> ear.halted(why));
        close(); // on threads of its own: who leads lets others lead
    }
}
