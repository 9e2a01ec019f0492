package plumpost.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import plumpost.config.PeersConfig;
import plumpost.count.Counters;
import plumpost.peers.Fleet;
import plumpost.peers.Host;
import plumpost.time.TimerWheel;
import plumpost.time.UnixTime;

/**
 * Simulates many members in one thread and in virtual time, on a log that is always available: what they propose is
 * applied after a random delay in one order, and delivered to each member after a delay of its own. Members can be
 * suspended, disconnected, slowed and crashed. The random numbers are seeded.
 */
final class FleetSim {
    private record ScheduledTask(double atMs, long sequence, Runnable action) {}

    /** One simulated scheduler. */
    final class SimulatedMember implements Host, FleetLog {
        final int index;
        final Counters counters = new Counters();
        TimerWheel wheel;
        final List<String> startedJobs = new ArrayList<>();
        Member member;
        boolean suspended;
        boolean disconnected;
        boolean crashed;
        /** Additional delay of deliveries from the log, in milliseconds, as with a slow disk. */
        double extraDelayMs;

        private final ArrayDeque<Double> undelivered = new ArrayDeque<>();
        private double lastDeliveryMs;
        private final List<Runnable> heldBack = new ArrayList<>();

        SimulatedMember(int index) {
            this.index = index;
            begin(0);
        }

        private void begin(int processNumber) {
            undelivered.clear();
            wheel = new TimerWheel(nowMs); // the timers of the previous process are gone
            PeersConfig.Member self = config.members().get(index);
            member = new Member(
                    new PeersConfig(
                            config.group(),
                            config.data(),
                            self,
                            config.members(),
                            config.heartbeatMs(),
                            config.sessionTimeoutMs(),
                            config.discoveryAgeMs(),
                            config.snapshotEvery(),
                            false,
                            config.covered()),
                    "n" + processNumber,
                    "disk" + index,
                    false,
                    this,
                    () -> nowMs,
                    UnixTime.of(() -> nowMs),
                    wheel,
                    counters,
                    line -> {});
            member.setLog(this);
            member.started();
            member.restored(state.snapshot());
            member.begin();
        }

        /** Delivers a callback to this process; held back while it is suspended or disconnected, dropped if it has crashed. */
        void deliver(double delayMs, Runnable action) {
            Member process = member;
            // Deliveries to one process keep their order.
            lastDeliveryMs = Math.max(lastDeliveryMs, nowMs + delayMs + extraDelayMs);
            undelivered.add(nowMs);
            schedule(lastDeliveryMs, () -> {
                if (process == member) {
                    undelivered.poll();
                }
                if (process == member && !crashed) {
                    if (suspended || disconnected) {
                        heldBack.add(action);
                    } else {
                        action.run();
                    }
                }
            });
        }

        void resume() {
            suspended = false;
            disconnected = false;
            List<Runnable> pending = List.copyOf(heldBack);
            heldBack.clear();
            pending.forEach(Runnable::run);
        }

        void restart(int processNumber) {
            crashed = false;
            suspended = false;
            disconnected = false;
            heldBack.clear();
            begin(processNumber);
        }

        @Override
        public void propose(Entry entry, ProposalListener listener) {
            Member process = member;
            if (disconnected) {
                schedule(nowMs + 2000, () -> {
                    if (process == member) {
                        listener.unknown(); // as the engine does when no leader has answered for long
                    }
                });
                return;
            }
            entries++;
            schedule(nowMs + drawDelayMs(), () -> {
                Outcome outcome = apply(entry);
                if (process == member) {
                    deliver(drawDelayMs(), () -> listener.applied(outcome));
                }
            });
        }

        @Override
        public void sendHeartbeat(String name, long incarnation, double leaderSilentMs, Consumer<Boolean> callback) {
            heartbeats++;
            if (disconnected) {
                propose(null, (Outcome outcome) -> callback.accept(null));
            } else {
                schedule(nowMs + drawDelayMs(), () -> {
                    monitor.recordHeartbeat(name, incarnation, nowMs, behindMs());
                    boolean live = state.sessions().live(name, incarnation);
                    deliver(drawDelayMs(), () -> callback.accept(live));
                });
            }
        }

        @Override
        public double behindMs() {
            return undelivered.isEmpty() ? 0 : Math.max(0, nowMs - undelivered.peek() - 50);
        }

        @Override
        public long syncs() {
            return 0;
        }

        @Override
        public void close() {}

        @Override
        public void banned(String node, boolean banned) {}

        @Override
        public Collection<String> functions() {
            return List.of("f");
        }

        @Override
        public boolean run(Fleet.Job job) {
            startedJobs.add(job.id());
            runCounts.merge(job.id(), 1, Integer::sum);
            Member process = member;
            schedule(nowMs + 5, () -> {
                if (process == member && !crashed && !suspended) {
                    member.onJobEnded(job.id(), false);
                }
            });
            return true;
        }

        @Override
        public void callBack(String id) {}

        @Override
        public void onNodeListLine(String line) {}

        @Override
        public void setDiscoveryQueries(boolean itself, boolean whole) {}

        @Override
        public boolean discoveryAnswers() {
            return false;
        }
    }

    final Random random;
    final FleetState state = new FleetState();
    final HeartbeatMonitor monitor = new HeartbeatMonitor(1000, 1500, 500);
    final List<SimulatedMember> members = new ArrayList<>();
    final Map<String, Integer> runCounts = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private final PeersConfig config;
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.sequence, b.sequence));
    double nowMs = 1_000_000;
    long heartbeats;
    long entries;
    private long nextSequence;

    FleetSim(int memberCount, long seed) {
        random = new Random(seed);
        List<PeersConfig.Member> memberConfigs = new ArrayList<>();
        for (int i = 0; i < memberCount; i++) {
            memberConfigs.add(
                    new PeersConfig.Member("s" + i, new InetSocketAddress("127.0.0.1", 1), "site" + i % 3, i < 3));
        }
        config = new PeersConfig(
                "sim",
                null,
                memberConfigs.get(0),
                memberConfigs,
                250,
                1500,
                5000,
                1000,
                false,
                PeersConfig.Covered.NONE);
        monitor.startLeading(nowMs);
        for (int i = 0; i < memberCount; i++) {
            members.add(new SimulatedMember(i));
        }
        checkHeartbeats();
    }

    private double drawDelayMs() {
        return 1 + random.nextInt(20);
    }

    private void schedule(double atMs, Runnable action) {
        queue.add(new ScheduledTask(atMs, nextSequence++, action));
    }

    private void checkHeartbeats() {
        monitor.check(state.sessions().all(), 1, nowMs).forEach(this::apply);
        schedule(nowMs + 100, this::checkHeartbeats);
    }

    private Outcome apply(Entry entry) {
        Duties.Duty before = state.duties().find(FleetState.SCHEDULE);
        List<FleetEvent> events = new ArrayList<>();
        Outcome outcome = state.apply(entry, 1, events);
        Duties.Duty after = state.duties().find(FleetState.SCHEDULE);
        if (before != null && after.fence() < before.fence()) {
            violations.add("a fence went back");
        }
        if (entry instanceof Entry.Fire fire && outcome.done() && fire.fence() != before.fence()) {
            violations.add("an entry with an old fence was applied");
        }
        members.forEach(member -> member.deliver(drawDelayMs(), () -> member.member.applied(entry, 1)));
        return outcome;
    }

    /** Advances virtual time by so many milliseconds. */
    void advance(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs += TimerWheel.TICK_MS) {
            while (!queue.isEmpty() && queue.peek().atMs <= nowMs) {
                queue.poll().action.run();
            }
            for (SimulatedMember member : members) {
                if (!member.suspended && !member.crashed) {
                    member.wheel.advanceTo(nowMs);
                }
            }
        }
    }
}
