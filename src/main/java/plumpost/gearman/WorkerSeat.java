package plumpost.gearman;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.Probe;
import plumpost.dispatch.TimerWheel;
import plumpost.gearman.Packet.Type;

/**
 * A worker's side of a connection, as a route node: what the core sends waits here until the worker grabs it. What
 * has not been grabbed never ran; what was grabbed when the worker is lost may have run.
 */
final class WorkerSeat implements NodeLink {
    /** A worker that was woken grabs within this time, or what waits for it goes elsewhere. */
    private static final double GRAB_MS = 1_000;

    private final GearmanDoor door;
    private final Caller caller;
    private final String id;
    private final double cameUpMs;
    private final Map<Integer, Double> limits = new TreeMap<>();
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private Attempt running;
    private String handle;
    private ByteBuffer said = ByteBuffer.allocate(0);
    private boolean busy;
    private boolean asleep;
    private boolean listed;
    private boolean lost;
    private TimerWheel.Timer grab;

    WorkerSeat(GearmanDoor door, Caller caller) {
        this.door = door;
        this.caller = caller;
        this.id = "gearman-" + door.newId();
        this.cameUpMs = door.kit.clock().nowMs();
    }

    boolean does(int cls) {
        return limits.containsKey(cls);
    }

    String functions() {
        StringBuilder all = new StringBuilder();
        limits.keySet().forEach(c -> all.append(' ').append(door.set.classes().get(c).name()));
        return all.toString();
    }

    void canDo(int cls, double limitMs) {
        limits.put(cls, limitMs);
        list();
    }

    /** Tells the core what this node runs; one that runs nothing any more drains, one that left is gone. */
    private void list() {
        if (limits.isEmpty() && !listed) {
            return;
        }
        listed = true;
        long runs = limits.keySet().stream().mapToLong(c -> 1L << c).sum();
        Phase phase = lost ? Phase.DELETED : limits.isEmpty() ? Phase.DRAINING : Phase.SERVING;
        door.listed(new ListedNode(door.entry(id, phase, cameUpMs, runs), this));
    }

    void packet(Packet p) {
        switch (p.type()) {
            case CANT_DO -> cannot(door.cls(p.text(0)));
            case RESET_ABILITIES -> List.copyOf(limits.keySet()).forEach(this::cannot);
            case PRE_SLEEP -> {
                asleep = true;
                wake();
            }
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> grab(p.type());
            case WORK_STATUS -> status(p);
            case WORK_DATA -> {
                if (mine(p)) {
                    say(p.parts().get(1));
                }
            }
            case WORK_WARNING -> {
                if (mine(p)) {
                    running.warned(p.parts().get(1));
                }
            }
            case WORK_COMPLETE -> {
                if (mine(p)) {
                    say(p.parts().get(1));
                    if (running != null) {
                        ByteBuffer result = said;
                        end().served(result, null);
                    }
                }
            }
            default -> { // WORK_FAIL, WORK_EXCEPTION
                if (mine(p)) {
                    end().ended(Ending.ERROR, null);
                }
            }
        }
    }

    /** Not this function any more: what waits for it and has not been grabbed goes back unstarted. */
    private void cannot(int cls) {
        if (limits.remove(cls) != null) {
            list();
            for (Attempt a : List.copyOf(waiting)) {
                if (a.sheet().cls() == cls) {
                    waiting.remove(a);
                    a.ended(Ending.FULL, null);
                }
            }
        }
    }

    /** True for the job that is out here; packets on one that was given up are counted and dropped. */
    private boolean mine(Packet p) {
        boolean known = p.text(0).equals(handle);
        if (known && p.type() != Type.WORK_STATUS && p.type() != Type.WORK_DATA && p.type() != Type.WORK_WARNING) {
            busy = false;
            handle = null;
        }
        if (!known || running == null) {
            door.kit.counters().count("gearman.stale");
            return false;
        }
        return true;
    }

    private void status(Packet p) {
        if (!p.text(1).matches("[0-9.]{1,18}") || !p.text(2).matches("[0-9.]{1,18}")) {
            caller.error("malformed", "WORK_STATUS without numbers");
        } else if (mine(p)) {
            try {
                double of = Double.parseDouble(p.text(2));
                running.progressed(of > 0 ? Math.min(1, Double.parseDouble(p.text(1)) / of) : 0);
            } catch (NumberFormatException e) {
                caller.error("malformed", "WORK_STATUS without numbers");
            }
        }
    }

    private void say(ByteBuffer more) {
        if (said.remaining() + more.remaining() > GearmanDoor.PACKET_LIMIT) {
            door.kit.counters().count("gearman.result_too_large");
            end().ended(Ending.ERROR, null);
            return;
        }
        said = ByteBuffer.allocate(said.remaining() + more.remaining()).put(said).put(more.duplicate()).flip();
    }

    private Attempt end() {
        Attempt a = running;
        running = null;
        return a;
    }

    private void grab(Type type) {
        asleep = false;
        if (grab != null) {
            grab.cancel();
            grab = null;
        }
        if (handle != null) {
            // It asks anew without having ended its job: that job is not worked on any more.
            Attempt a = end();
            handle = null;
            if (a != null) {
                a.ended(Ending.RESET, null);
            }
        }
        busy = false;
        Attempt a = waiting.poll();
        if (a == null) {
            caller.write(Type.NO_JOB);
            return;
        }
        running = a;
        busy = true;
        said = ByteBuffer.allocate(0);
        handle = door.handle(a.sheet().id());
        String function = door.set.classes().get(a.sheet().cls()).name();
        String unique = a.sheet().unique() == null ? "" : a.sheet().unique();
        switch (type) {
            case GRAB_JOB -> caller.write(Type.JOB_ASSIGN, handle, function, a.sheet().body());
            case GRAB_JOB_UNIQ -> caller.write(Type.JOB_ASSIGN_UNIQ, handle, function, unique, a.sheet().body());
            default -> caller.write(Type.JOB_ASSIGN_ALL, handle, function, unique, "", a.sheet().body());
        }
        double limit = limits.getOrDefault(a.sheet().cls(), 0.0);
        if (limit > 0) {
            door.kit.wheel().at(door.kit.clock().nowMs() + limit, () -> {
                if (running == a) {
                    end().ended(Ending.TIMEOUT, null);
                }
            });
        }
        a.started();
    }

    private void wake() {
        if (waiting.isEmpty() || busy || lost) {
            return;
        }
        if (asleep) {
            asleep = false;
            caller.write(Type.NOOP);
        }
        if (grab == null) {
            grab = door.kit.wheel().at(door.kit.clock().nowMs() + GRAB_MS, this::notGrabbed);
        }
    }

    private void notGrabbed() {
        grab = null;
        if (!busy) {
            door.kit.counters().count("gearman.not_grabbed");
            handBack();
        }
    }

    private void handBack() {
        for (Attempt a = waiting.poll(); a != null; a = waiting.poll()) {
            a.ended(Ending.CONNECT_FAILED, null);
        }
    }

    /** The worker's connection is gone. */
    void lost() {
        lost = true;
        if (grab != null) {
            grab.cancel();
        }
        list();
        handBack();
        Attempt a = end();
        if (a != null) {
            a.ended(Ending.RESET, null);
        }
    }

    @Override
    public void send(Attempt attempt) {
        if (lost || !does(attempt.sheet().cls())) {
            attempt.ended(Ending.FULL, null);
            return;
        }
        waiting.add(attempt);
        wake();
    }

    @Override
    public void giveUp(Attempt attempt) {
        waiting.remove(attempt);
        if (running == attempt) {
            running = null; // the protocol has no word for it: the worker goes on and is busy until it ends
        }
    }

    @Override
    public void probe(Probe probe) {
        probe.ended(lost ? Ending.CONNECT_FAILED : Ending.OK, new LoadReport(busy ? 1 : 0, waiting.size(), Double.NaN,
            Double.NaN, 1 - (busy ? 1 : 0) - waiting.size(), Double.NaN));
    }

    @Override
    public void leave() { }
}
