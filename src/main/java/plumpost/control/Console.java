package plumpost.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import plumpost.count.Counters;
import plumpost.count.Statsd;
import plumpost.dispatch.Bans;
import plumpost.dispatch.DispatchRoom;

/** What the operators' calls reach in one process: its readiness, its figures, and the bans shared with its twin. */
public final class Console implements ControlDoor.Operations {
    /** The figures' prefix. */
    public static final String PREFIX = "node";

    private final DispatchRoom room;
    private final Counters counters;
    private final SharedBans shared;
    private final BooleanSupplier ready;

    /** A console on a core; {@code shared} may be null where no other process is to be told. */
    public Console(DispatchRoom room, Counters counters, SharedBans shared, BooleanSupplier ready) {
        this.room = room;
        this.counters = counters;
        this.shared = shared;
        this.ready = ready;
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
            shared.write();
        }
        return said;
    }
}
