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
    public static final String PREFIX = "node";

    private final DispatchCore room;
    private final Counters counters;
    private final SharedBans shared;
    private final BooleanSupplier ready;
    private Fleet fleet;

    /** A console on a core; {@code shared} may be null where no other process is to be told. */
    public ControlOperations(DispatchCore room, Counters counters, SharedBans shared, BooleanSupplier ready) {
        this.room = room;
        this.counters = counters;
        this.shared = shared;
        this.ready = ready;
    }

    /** From now on what is taken out or called back here is so for the whole fleet. */
    public void in(Fleet whole) {
        fleet = whole;
    }

    /**
     * In a fleet a node goes out here at once and everywhere when that is agreed on, and comes back once that is agreed
     * on; a yes is owed only then.
     */
    @Override
    public void change(String node, boolean out, BiConsumer<Bans.Said, String> then) {
        if (fleet == null) {
            Bans.Said said = change(node, out);
            boolean owed = said != Bans.Said.UNKNOWN && shared != null && !shared.kept();
            String why = "worker " + node + (out ? " is out" : " is back") + " in this process only: "
                    + "the next one cannot be told, the shared folder takes no file";
            then.accept(owed ? null : said, owed ? why : "");
            return;
        }
        Bans.Said here = room.known(node) ? out ? room.offline(node) : Bans.Said.CHANGED : Bans.Said.UNKNOWN;
        if (here == Bans.Said.UNKNOWN) {
            then.accept(here, "");
        } else {
            fleet.ban(
                    node,
                    out,
                    said -> then.accept(
                            said.agreed() ? here : null,
                            "worker " + node + (out ? " is out here only: " : " stays out: ") + said.words()));
        }
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String figures() {
        Map<String, Long> gauges = new LinkedHashMap<>();
        gauges.put("outstanding", (long) room.open());
        gauges.put("discovered", (long) room.listedNodes());
        gauges.put("ejected", (long) room.avoided());
        return Statsd.lines(PREFIX, counters, room.classNames(), gauges);
    }

    @Override
    public Bans.Said offline(String node) {
        return change(node, true);
    }

    @Override
    public Bans.Said online(String node) {
        return change(node, false);
    }

    /** The other process may have changed the bans a moment ago: its word is taken first, then this call's. */
    private Bans.Said change(String node, boolean out) {
        if (shared != null) {
            shared.look();
        }
        Bans.Said said = out ? room.offline(node) : room.online(node);
        if (said == Bans.Said.CHANGED && shared != null) {
            shared.changed(node, out);
        }
        return said;
    }
}
