package plumpost.benchlink;

import plumpost.config.Json;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher;

/** Reads the wire's events into the vocabulary of {@link Dispatcher}; no state, no decisions. */
final class WireCodec {
    private WireCodec() {}

    static Dispatcher.WorkerEntry entry(Object o) {
        Fields e = Json.fields("discovery.lines", o);
        return new Dispatcher.WorkerEntry(
                e.text("worker"),
                (int) e.number("area", 0),
                (int) e.number("type", 0),
                (int) e.number("stripe", 0),
                e.oneOf("phase", Dispatcher.Phase.class),
                e.number("units", 1),
                e.number("cameUpMs", 0));
    }

    static Dispatcher.LoadReport report(Fields f, boolean x0IsFreeSlots) {
        return f.has("serverStats") ? LoadReports.read(f.object("serverStats"), x0IsFreeSlots) : null;
    }
}
