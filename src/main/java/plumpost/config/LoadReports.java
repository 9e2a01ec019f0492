package plumpost.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.LoadReport;

/** Reads a route node's load report from named fields, or from a body with a JSON object or {@code name=value} pairs. */
public final class LoadReports {
    private LoadReports() {}

    /** Reads a report from named fields; {@code freeSlots} says whether the field x0 is a number of free slots. */
    public static LoadReport read(Fields fields, boolean freeSlots) {
        return new LoadReport(
                fields.number("inflight", Double.NaN),
                fields.number("queue", Double.NaN),
                fields.number("latency_ms", Double.NaN),
                fields.number("eps", Double.NaN),
                freeSlots ? fields.number("x0", Double.NaN) : Double.NaN,
                fields.number("x1", Double.NaN));
    }

    /** Reads a report from the body or a header field of a response; null if it is empty. */
    public static LoadReport read(ByteBuffer body, boolean freeSlots) {
        byte[] bytes = new byte[body.remaining()];
        body.duplicate().get(bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1).strip();
        if (text.startsWith("{")) {
            return read(Json.object("load report", bytes), freeSlots);
        }
        return text.isEmpty() ? null : read(new Fields("load report", parsePairs(text)), freeSlots);
    }

    /** Parses numbers in the form {@code name=value,name=value}; throws {@link BadInput} if a value is not a number. */
    public static Map<String, Object> parsePairs(String text) {
        Map<String, Object> numbers = new LinkedHashMap<>();
        for (String pair : text.split("[,\\s]+")) {
            int separator = pair.indexOf('=');
            try {
                Double value = Double.valueOf(pair.substring(separator + 1));
                if (numbers.put(pair.substring(0, Math.max(0, separator)), value) != null) {
                    throw new BadInput("a name twice in " + text);
                }
            } catch (NumberFormatException e) {
                throw new BadInput("not a number in " + pair);
            }
        }
        return numbers;
    }
}
