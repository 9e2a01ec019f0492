package plumpost.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.LoadReport;

/** Reads a route node's load report: from named fields, or from a body that is an object or {@code name=value} pairs. */
public final class LoadReports {
    private LoadReports() {}

    /** The report in named fields. */
    public static LoadReport read(Fields fields, boolean freeSlots) {
        return new LoadReport(
                fields.number("inflight", Double.NaN),
                fields.number("queue", Double.NaN),
                fields.number("latency_ms", Double.NaN),
                fields.number("eps", Double.NaN),
                freeSlots ? fields.number("x0", Double.NaN) : Double.NaN,
                fields.number("x1", Double.NaN));
    }

    /** The report in a body or field of an answer; null for an empty one. */
    public static LoadReport read(ByteBuffer body, boolean freeSlots) {
        byte[] bytes = new byte[body.remaining()];
        body.duplicate().get(bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1).strip();
        if (text.startsWith("{")) {
            return read(Json.object("load report", bytes), freeSlots);
        }
        return text.isEmpty() ? null : read(new Fields("load report", pairs(text)), freeSlots);
    }

    /** Numbers given as {@code name=value,name=value}. */
    public static Map<String, Object> pairs(String text) {
        Map<String, Object> numbers = new LinkedHashMap<>();
        for (String pair : text.split("[,\\s]+")) {
            int separator = pair.indexOf('=');
            try {
                numbers.put(pair.substring(0, Math.max(0, separator)), Double.valueOf(pair.substring(separator + 1)));
            } catch (NumberFormatException e) {
                throw new BadInput("not a number in " + pair);
            }
        }
        return numbers;
    }
}
