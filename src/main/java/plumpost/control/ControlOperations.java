package plumpost.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import plumpost.count.Counters;
import plumpost.count.Statsd;
import plumpost.dispatch.Bans;
import plumpost.dispatch.DispatchCore;
import plumpost.peers.Fleet;

/** What the operators' calls reach in one process: its readiness, its figures, and the bans shared with its twin. */
public final class ControlOperations implements ControlServer.Operations {
    /** The figures' prefix. */
    public static final String METRIC_PREFIX = "node";

    private final DispatchCore core;
    private final Counters counters;
    private final SharedBans sharedBans;
    private final BooleanSupplier ready;
    private Fleet fleet;

    /** A console on a core; {@code shared} may be null where no other process is to be told. */
    public ControlOperations(DispatchCore core, Counters counters, SharedBans sharedBans, BooleanSupplier ready) {
        this.core = core;
        this.counters = counters;
        this.sharedBans = sharedBans;
        this.ready = ready;
    }

    /** From now on what is taken out or called back here is so for the whole fleet. */
    public void joinFleet(Fleet joined) {
        fleet = joined;
    }

    /**
     * In a fleet a node goes out here at once and everywhere when that is agreed on, and comes back once that is agreed
     * on; a yes is owed only then.
     */
    @Override
    public void changeBan(String worker, boolean offline, BiConsumer<Bans.Said, String> onResult) {
        if (fleet == null) {
            Bans.Said result = changeBan(worker, offline);
            boolean unsaved = result != Bans.Said.UNKNOWN && sharedBans != null && !sharedBans.isSaved();
            String reason = "worker " + worker + (offline ? " is out" : " is back") + " in this process only: "
                    + "the next one cannot be told, the shared folder takes no file";
            onResult.accept(unsaved ? null : result, unsaved ? reason : "");
            return;
        }
        Bans.Said localResult =
                core.known(worker) ? offline ? core.offline(worker) : Bans.Said.CHANGED : Bans.Said.UNKNOWN;
        if (localResult == Bans.Said.UNKNOWN) {
            onResult.accept(localResult, "");
        } else {
            fleet.ban(
                    worker,
                    offline,
                    result -> onResult.accept(
                            result.agreed() ? localResult : null,
                            "worker " + worker + (offline ? " is out here only: " : " stays out: ") + result.words()));
        }
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String statsdLines() {
        Map<String, Long> gauges = new LinkedHashMap<>();
        gauges.put("outstanding", (long) core.open());
        gauges.put("discovered", (long) core.listedNodes());
        gauges.put("ejected", (long) core.avoided());
        return Statsd.lines(METRIC_PREFIX, counters, core.classNames(), gauges);
    }

    @Override
    public Bans.Said takeOffline(String worker) {
        return changeBan(worker, true);
    }

    @Override
    public Bans.Said bringOnline(String worker) {
        return changeBan(worker, false);
    }

    /** The other process may have changed the bans a moment ago: its word is taken first, then this call's. */
    private Bans.Said changeBan(String worker, boolean offline) {
        if (sharedBans != null) {
            sharedBans.refresh();
        }
        Bans.Said result = offline ? core.offline(worker) : core.online(worker);
        if (result == Bans.Said.CHANGED && sharedBans != null) {
            sharedBans.record(worker, offline);
        }
        return result;
    }
}
