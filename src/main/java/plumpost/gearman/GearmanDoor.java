package plumpost.gearman;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import plumpost.config.NodeConfig;
import plumpost.decision.Dispatcher;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.dispatch.DispatchRoom;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeList;
import plumpost.net.Kit;
import plumpost.net.Wire;
import plumpost.net.WireUser;

/** The Gearman front: takes clients and workers in; its workers are the route nodes of a node list of its own. */
public final class GearmanDoor implements NodeList {
    /** Arguments and framing of a job beside its data. */
    static final int PACKET_LIMIT = 64 * 1024 + 1024;
    private static final double SLOW_MS = 10_000;
    private static final double SWEEP_MS = 500;
    /** A packet follows its connection at once: while places run short, one without is a stranger's after this. */
    private static final double NEWCOMER_MS = 100;

    final DispatchRoom room;
    final Kit kit;
    final Dispatcher.Settings set;
    private final NodeConfig.Gearman config;
    private final String name;
    private final String version;
    private final long firstId;
    private final Set<Caller> callers = new LinkedHashSet<>();
    private long ids;
    private long taken;
    private boolean stopping;

    /** A front whose handles carry the scheduler's name, and whose job ids start anew with each seed. */
    public GearmanDoor(NodeConfig.Gearman config, String name, String version, long seed, DispatchRoom room,
                       Kit kit, Dispatcher.Settings set) {
        this.config = config;
        this.name = name;
        this.version = version;
        this.firstId = seed ^ Double.doubleToLongBits(kit.clock().nowMs()) * 0x9E3779B97F4A7C15L;
        this.room = room;
        this.kit = kit;
        this.set = set;
        room.add(this);
        kit.wheel().at(kit.clock().nowMs() + SWEEP_MS, this::sweep);
    }

    /** Takes a connection in. */
    public WireUser accept(Wire wire) {
        Caller c = new Caller(this, wire, ++taken);
        callers.add(c);
        return c;
    }

    /** From here on new jobs are answered with an error; what is held goes on. */
    public void stop() {
        stopping = true;
    }

    /** True when all that was said to clients and workers has been written. */
    public boolean quiet() {
        return callers.stream().allMatch(c -> c.wire.flushed());
    }

    /** Its workers tell of themselves: there is nothing to ask for. */
    @Override
    public void watch() { }

    boolean stopping() {
        return stopping;
    }

    String newId() {
        return String.format("%016x", firstId + ids++);
    }

    String handle(String id) {
        return "H:" + name + ':' + id;
    }

    /** The job id in a handle; handles of another scheduler name no job here. */
    String id(String handle) {
        String mine = handle("");
        return handle.startsWith(mine) ? handle.substring(mine.length()) : "";
    }

    /** The class that a function names, or -1. */
    int cls(String function) {
        for (int i = 0; i < set.classes().size(); i++) {
            if (set.classes().get(i).name().equals(function)) {
                return i;
            }
        }
        return -1;
    }

    WorkerEntry entry(String id, Phase phase, double cameUpMs, long runs) {
        return new WorkerEntry(id, config.plant(), config.model(), 0, phase, 1, cameUpMs, runs);
    }

    void listed(ListedNode line) {
        room.listed(this, ListMode.INCREMENTAL, List.of(line));
    }

    void left(Caller c) {
        callers.remove(c);
    }

    /** Ends the connection that has said nothing for longest; false while each has spoken or is new. */
    public boolean shed() {
        double now = kit.clock().nowMs();
        for (Caller c : callers) { // in the order in which they came
            if (c.silentFor(now) > NEWCOMER_MS) {
                kit.counters().count("gearman.shed");
                callers.remove(c);
                c.wire.cut();
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        double now = kit.clock().nowMs();
        for (Caller c : new ArrayList<>(callers)) {
            if (c.slowSince() < now - SLOW_MS) {
                kit.counters().count("gearman.slow");
                c.error("timeout", "too slow");
            }
        }
        kit.wheel().at(now + SWEEP_MS, this::sweep);
    }

    /** The answer to an admin's line. */
    String admin(String line) {
        StringBuilder words = new StringBuilder();
        switch (line) {
            case "version" -> {
                return "OK " + version + "\n";
            }
            case "status" -> {
                for (int i = 0; i < set.classes().size(); i++) {
                    int cls = i;
                    DispatchRoom.Tally t = room.tally(cls);
                    words.append(set.classes().get(cls).name()).append('\t').append(t.open()).append('\t')
                        .append(t.running()).append('\t')
                        .append(callers.stream().filter(c -> c.does(cls)).count()).append('\n');
                }
            }
            case "workers" -> callers.stream().filter(Caller::works).forEach(c -> words.append(c.describe()));
            default -> {
                return "ERR UNKNOWN_COMMAND Unknown+server+command\n";
            }
        }
        return words.append(".\n").toString();
    }
}
