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
 * What one play showed of one role at one size.
 *
 * @param role what was measured, such as the scheduler's process or its decision module alone
 * @param axis which size was varied; the others stay as the run's plan says
 * @param size the value on that axis
 * @param play the number of the play, from 0
 * @param valid false where the laboratory itself was the limit, so that the figures do not count
 * @param figures the figures by name, with their units in the names
 */
record Measurement(String role, String axis, double size, int play, boolean valid, Map<String, Double> figures) {
    Measurement {
        figures = new LinkedHashMap<>(figures);
    }

    /** The measurements of a run as JSON, one a line. */
    static String json(List<Measurement> all, boolean partial) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeBooleanField("partial", partial);
            json.writeArrayFieldStart("measurements");
            for (Measurement each : all) {
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

    /** Reads what {@link #json} wrote. */
    static List<Measurement> read(byte[] json) {
        List<Measurement> all = new ArrayList<>();
        for (Object each : Json.object("measurements", json).list("measurements")) {
            Fields fields = Json.fields("measurement", each);
            Map<String, Double> figures = new LinkedHashMap<>();
            Fields given = fields.object("figures");
            given.map().keySet().forEach(name -> figures.put(name, given.number(name)));
            all.add(new Measurement(
                    fields.text("role"),
                    fields.text("axis"),
                    fields.number("size"),
                    fields.whole("play"),
                    fields.flag("valid", true),
                    figures));
        }
        return all;
    }
}
