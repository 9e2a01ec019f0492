package plumpost.gearman;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.decision.Dispatcher.Ending;
import plumpost.decision.Dispatcher.LoadReport;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;
import plumpost.dispatch.Attempt;
import plumpost.dispatch.JobRequest;
import plumpost.dispatch.ListedNode;
import plumpost.dispatch.NodeLink;
import plumpost.dispatch.Probe;
import plumpost.gearman.FunctionTable.Function;
import plumpost.gearman.Packet.Type;
import plumpost.time.TimerWheel;

/**
 * A worker's side of a connection, as a route node: what the core sends waits here until the worker grabs it. What
 * has not been grabbed never ran; what was grabbed when the worker is lost may have run. It is listed from its first
 * grab or sleep on, and drains while it still works on a job that was given up, or sleeps through one it was woken for.
 */
final class WorkerSession implements NodeLink {
    /** A worker that was woken grabs within this time, or what waits for it goes elsewhere. */
    private static final double GRAB_MS = 1_000;

    private final GearmanFront door;
    private final GearmanConnection caller;
    private final String id;
    private final Map<Function, Double> limits = new LinkedHashMap<>(4);
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>(2);
    private double upSince = Double.NaN;
    private Attempt running;
    private String handle;
    private boolean busy;
    private boolean asleep;
    private Type asks;
    private TimerWheel.Timer answer;
    private boolean ready;
    private boolean listed;
    private boolean absent;
    private boolean lost;
    private Phase told = Phase.DELETED;
    private TimerWheel.Timer grab;

    WorkerSession(GearmanFront door, GearmanConnection caller) {
        this.door = door;
        this.caller = caller;
        this.id = "gearman-" + door.newId();
    }

    Collection<Function> functions() {
        return limits.keySet();
    }

    /** Tells the core what this node runs and whether it wants anything new; the first time only once it is ready. */
    private void list() {
        if (!listed && (!ready || limits.isEmpty() || lost)) {
            return;
        }
        listed = true;
        BitSet runs = new BitSet();
        limits.keySet().forEach(f -> runs.set(f.kind));
        told = lost
                ? Phase.DELETED
                : limits.isEmpty() || absent || busy && running == null ? Phase.DRAINING : Phase.SERVING;
        door.listed(new ListedNode(
                new WorkerEntry(id, door.config.plant(), door.config.model(), 0, told, 1, upSince, runs, 1), this));
    }

    /** Lists it anew where it has become or ceased to be fit for something new. */
    private void relist() {
        boolean fit = !limits.isEmpty() && !absent && !(busy && running == null);
        if (listed && !lost && fit != (told == Phase.SERVING)) {
            list();
        }
    }

    /** The worker says that it is there. One that left jobs ungrabbed before is given some time first. */
    private void here() {
        if (!ready) {
            ready = true;
            upSince = door.book.come(
                    caller.clientId(), caller.since(), door.kit.clock().nowMs());
            double delay = door.book.delayMs(caller.clientId());
            if (delay > 0) {
                door.kit.counters().count("gearman.flapping");
                absent = true;
                door.kit.wheel().at(door.kit.clock().nowMs() + delay, () -> {
                    absent = false;
                    if (!lost) {
                        list();
                    }
                });
            } else {
                list();
            }
        }
    }

    void packet(Packet p) {
        switch (p.type()) {
            case CAN_DO, CAN_DO_TIMEOUT -> canDo(p);
            case CANT_DO -> cannot(door.functions.known(p.text(0)));
            case RESET_ABILITIES -> List.copyOf(limits.keySet()).forEach(this::cannot);
            case PRE_SLEEP -> {
                noJob(); // it asks no more
                asleep = true;
                here();
                wake();
            }
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> grab(p.type());
            case WORK_STATUS -> status(p);
            case WORK_DATA -> {
                if (mine(p, false)) {
                    running.part(p.parts().get(1));
                }
            }
            case WORK_WARNING -> {
                if (mine(p, false)) {
                    running.warned(p.parts().get(1));
                }
            }
            case WORK_COMPLETE -> {
                if (mine(p, true)) {
                    end().served(p.parts().get(1), null);
                } else if (door.orders != null) {
                    door.orders.late(p.text(0), p.parts().get(1));
                }
            }
            case WORK_EXCEPTION -> {
                if (mine(p, true)) {
                    end().failed(p.parts().get(1), null);
                }
            }
            default -> { // WORK_FAIL
                if (mine(p, true)) {
                    end().ended(Ending.ERROR, null);
                }
            }
        }
    }

    private void canDo(Packet p) {
        double limitS = 0;
        if (p.type() == Type.CAN_DO_TIMEOUT) {
            if (!p.text(1).matches("[0-9]{1,9}")) {
                caller.error("malformed", "CAN_DO_TIMEOUT without a number of seconds");
                return;
            }
            limitS = Long.parseLong(p.text(1));
        }
        Function f = door.functions.find(p.text(0));
        if (f == null) {
            boolean full = door.functions.full();
            door.kit.counters().count(full ? "gearman.not.functions" : "gearman.unknown_function");
            if (full) { // else no job of such a function will ever come
                caller.write(
                        Type.ERROR,
                        "functions",
                        p.text(0) + ": limits.functions " + door.functions.limit() + " is used up");
            }
            return;
        }
        if (limits.put(f, limitS * 1000) == null) {
            f.workers++;
            list();
        }
    }

    /** Not this function any more: what waits for it and has not been grabbed goes back unstarted. */
    private void cannot(Function f) {
        if (f != null && limits.remove(f) != null) {
            f.workers--;
            list();
            for (Attempt a : List.copyOf(waiting)) {
                if (a.sheet().work().kind() == f.kind) {
                    waiting.remove(a);
                    a.ended(Ending.FULL, null);
                }
            }
        }
    }

    /** True for the job that is out here; packets on one that was given up are counted and dropped. */
    private boolean mine(Packet p, boolean ends) {
        boolean known = p.text(0).equals(handle);
        boolean wanted = known && running != null;
        if (known && ends) {
            handle = null;
            busy = false;
            door.book.worked(caller.clientId());
            relist();
        }
        if (!wanted) {
            door.kit.counters().count("gearman.stale");
        }
        return wanted;
    }

    private void status(Packet p) {
        if (!p.text(1).matches("[0-9.]{1,18}") || !p.text(2).matches("[0-9.]{1,18}")) {
            caller.error("malformed", "WORK_STATUS without numbers");
        } else if (mine(p, false)) {
            try {
                double of = Double.parseDouble(p.text(2));
                running.progressed(of > 0 ? Math.min(1, Double.parseDouble(p.text(1)) / of) : 0);
            } catch (NumberFormatException e) {
                caller.error("malformed", "WORK_STATUS without numbers");
            }
        }
    }

    private Attempt end() {
        Attempt a = running;
        running = null;
        return a;
    }

    private void grab(Type type) {
        asleep = false;
        noJob();
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
        absent &= !listed; // who is there after all; a delay before its first listing runs on
        here();
        relist();
        asks = type;
        serve();
        if (asks != null && door.config.grabHoldMs() > 0) {
            // A job may come at any moment, and costs neither a sleep nor a wake-up then.
            answer = door.kit.wheel().at(door.kit.clock().nowMs() + door.config.grabHoldMs(), this::noJob);
        } else {
            noJob();
        }
    }

    /** Answers an open grab with the job that waits here, if there is one. */
    private void serve() {
        Attempt a = asks == null ? null : waiting.poll();
        if (a == null) {
            return;
        }
        Type type = asks;
        if (a.sheet().work().reducer() != null && type != Type.GRAB_JOB_ALL) {
            // Without the reducer's name it would run as another job than was asked for.
            door.kit.counters().count("gearman.reducer_not_grabbed");
            noJob();
            a.ended(Ending.FULL, null);
            return;
        }
        asks = null;
        if (answer != null) {
            answer.cancel();
        }
        assign(type, a);
    }

    /** Answers an open grab: there is no job. */
    private void noJob() {
        if (asks != null) {
            asks = null;
            caller.write(Type.NO_JOB);
        }
        if (answer != null) {
            answer.cancel();
            answer = null;
        }
    }

    private void assign(Type type, Attempt a) {
        JobRequest s = a.sheet();
        running = a;
        busy = true;
        if (grab != null) { // else it would end a later sleep
            grab.cancel();
            grab = null;
        }
        handle = door.handle(s.id());
        Function f = door.functions.of(s.work().kind());
        String unique = s.work().unique() == null ? "" : s.work().unique();
        switch (type) {
            case GRAB_JOB -> caller.write(Type.JOB_ASSIGN, handle, f.name, s.body());
            case GRAB_JOB_UNIQ -> caller.write(Type.JOB_ASSIGN_UNIQ, handle, f.name, unique, s.body());
            default ->
                caller.write(
                        Type.JOB_ASSIGN_ALL,
                        handle,
                        f.name,
                        unique,
                        s.work().reducer() == null ? "" : s.work().reducer(),
                        s.body());
        }
        a.whole(); // handed to the worker's connection whole: its write is batched for the turn, not held back
        double limit = limits.getOrDefault(f, 0.0);
        if (limit > 0) {
            door.kit.wheel().at(door.kit.clock().nowMs() + limit, () -> {
                if (running == a) {
                    running = null;
                    relist();
                    a.ended(Ending.TIMEOUT, null);
                }
            });
        }
        a.started();
    }

    private void wake() {
        if (waiting.isEmpty() || busy || lost) {
            return;
        }
        if (asks != null) {
            serve();
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
            door.book.strike(caller.clientId());
            absent = true;
            relist();
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
        if (!waiting.isEmpty()) {
            door.book.strike(caller.clientId());
        }
        if (ready) {
            door.book.left(caller.clientId(), door.kit.clock().nowMs());
        }
        limits.keySet().forEach(f -> f.workers--);
        list();
        handBack();
        Attempt a = end();
        if (a != null) {
            a.ended(Ending.RESET, null);
        }
    }

    @Override
    public void send(Attempt attempt) {
        if (lost
                || told != Phase.SERVING
                || !limits.containsKey(door.functions.of(attempt.sheet().work().kind()))) {
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
            relist();
        }
    }

    @Override
    public void probe(Probe probe) {
        probe.ended(
                lost ? Ending.CONNECT_FAILED : Ending.OK,
                new LoadReport(
                        busy ? 1 : 0,
                        waiting.size(),
                        Double.NaN,
                        Double.NaN,
                        1 - (busy ? 1 : 0) - waiting.size(),
                        Double.NaN));
    }

    @Override
    public void leave() {}
}
