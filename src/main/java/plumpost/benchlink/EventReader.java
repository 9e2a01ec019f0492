package plumpost.benchlink;

import plumpost.config.Json;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher;

/** Converts parts of the simulator's events into the types of {@link Dispatcher}; it has no state. */
final class EventReader {
    private EventReader() {}

    /** A line of a discovery event. */
    static Dispatcher.WorkerEntry readWorkerEntry(Object line) {
        Fields fields = Json.fields("discovery.lines", line);
        return new Dispatcher.WorkerEntry(
                fields.text("worker"),
                (int) fields.number("area", 0),
                (int) fields.number("type", 0),
                (int) fields.number("stripe", 0),
                fields.enumValue("phase", Dispatcher.Phase.class),
                fields.number("units", 1),
                fields.number("cameUpMs", 0));
    }

    /** The load report of an event, or null; {@code x0IsFreeSlots} as in {@link LoadReports#read}. */
    static Dispatcher.LoadReport readLoadReport(Fields event, boolean x0IsFreeSlots) {
        return event.has("serverStats") ? LoadReports.read(event.object("serverStats"), x0IsFreeSlots) : null;
    }
}
