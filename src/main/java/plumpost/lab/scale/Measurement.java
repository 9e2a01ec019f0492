package plumpost.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.config.Json;
import plumpost.config.Json.Fields;

/**
 * The figures of one play of one role at one size.
 *
 * @param role what was measured, such as the scheduler process or its decision module alone
 * @param axis the size that was varied; the others have the base values of the plan
 * @param size the value of that size
 * @param play the number of the play, from 0
 * @param valid false if the laboratory itself was the bottleneck, so that the figures must be ignored
 * @param figures the figures by name; each name contains the unit
 */
record Measurement(String role, String axis, double size, int play, boolean valid, Map<String, Double> figures) {
    Measurement {
        figures = new LinkedHashMap<>(figures);
    }

    /** Returns the measurements of a run as JSON, one per line; {@code partial} marks an unfinished run. */
    static String json(List<Measurement> measurements, boolean partial) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeBooleanField("partial", partial);
            json.writeArrayFieldStart("measurements");
            for (Measurement each : measurements) {
                json.writeRaw('\n');
                each.write(json);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text + "\n";
    }

    private void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("role", role);
        json.writeStringField("axis", axis);
        json.writeNumberField("size", size);
        json.writeNumberField("play", play);
        json.writeBooleanField("valid", valid);
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : figures.entrySet()) {
            json.writeNumberField(figure.getKey(), Math.round(figure.getValue() * 1000) / 1000.0);
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    /** Reads the output of {@link #json}. */
    static List<Measurement> read(byte[] json) {
        List<Measurement> measurements = new ArrayList<>();
        for (Object each : Json.object("measurements", json).list("measurements")) {
            Fields fields = Json.fields("measurement", each);
            Map<String, Double> figures = new LinkedHashMap<>();
            Fields given = fields.object("figures");
            given.map().keySet().forEach(name -> figures.put(name, given.number(name)));
            measurements.add(new Measurement(
                    fields.text("role"),
                    fields.text("axis"),
                    fields.number("size"),
                    fields.integer("play"),
                    fields.flag("valid", true),
                    figures));
        }
        return measurements;
    }
}
