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

/** The operators' calls in one process: readiness, metrics, and bans shared with the fleet or the scheduler's other process. */
public final class ControlOperations implements ControlServer.Operations {
    /** Prefix of the metrics' names. */
    public static final String METRIC_PREFIX = "node";

    private final DispatchCore core;
    private final Counters counters;
    private final SharedBans sharedBans;
    private final BooleanSupplier ready;
    private Fleet fleet;

    /** Creates the operations on a core; {@code sharedBans} is null if bans are not shared through a file. */
    public ControlOperations(DispatchCore core, Counters counters, SharedBans sharedBans, BooleanSupplier ready) {
        this.core = core;
        this.counters = counters;
        this.sharedBans = sharedBans;
        this.ready = ready;
    }

    /** From now on bans set or lifted here apply to the whole fleet. */
    public void joinFleet(Fleet joined) {
        fleet = joined;
    }

    /**
     * In a fleet, a worker is banned here immediately and everywhere once the fleet has agreed; a ban is lifted only once the
     * fleet has agreed. The change is acknowledged only after the agreement.
     */
    @Override
    public void changeBan(String worker, boolean offline, BiConsumer<Bans.BanResult, String> onResult) {
        if (fleet == null) {
            Bans.BanResult result = changeBan(worker, offline);
            boolean unsaved = result != Bans.BanResult.UNKNOWN && sharedBans != null && !sharedBans.isSaved();
            String reason = "worker " + worker + (offline ? " is out" : " is back") + " in this process only: "
                    + "the next one cannot be told, the shared folder takes no file";
            onResult.accept(unsaved ? null : result, unsaved ? reason : "");
            return;
        }
        Bans.BanResult localResult =
                core.known(worker) ? offline ? core.offline(worker) : Bans.BanResult.CHANGED : Bans.BanResult.UNKNOWN;
        if (localResult == Bans.BanResult.UNKNOWN) {
            onResult.accept(localResult, "");
        } else {
            fleet.ban(
                    worker,
                    offline,
                    result -> onResult.accept(
                            result.agreed() ? localResult : null,
                            "worker " + worker + (offline ? " is out here only: " : " stays out: ") + result.detail()));
        }
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String statsdLines() {
        Map<String, Long> gauges = new LinkedHashMap<>();
        gauges.put("outstanding", (long) core.openJobCount());
        gauges.put("discovered", (long) core.listedNodes());
        gauges.put("ejected", (long) core.avoidedNodeCount());
        return Statsd.lines(METRIC_PREFIX, counters, core.classNames(), gauges);
    }

    @Override
    public Bans.BanResult takeOffline(String worker) {
        return changeBan(worker, true);
    }

    @Override
    public Bans.BanResult bringOnline(String worker) {
        return changeBan(worker, false);
    }

    /** Applies the other process's latest changes before this one, so that this one prevails. */
    private Bans.BanResult changeBan(String worker, boolean offline) {
        if (sharedBans != null) {
            sharedBans.refresh();
        }
        Bans.BanResult result = offline ? core.offline(worker) : core.online(worker);
        if (result == Bans.BanResult.CHANGED && sharedBans != null) {
            sharedBans.record(worker, offline);
        }
        return result;
    }
}
