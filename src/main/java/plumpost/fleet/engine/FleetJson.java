package plumpost.fleet.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import plumpost.fleet.Duties.Duty;
import plumpost.fleet.FleetState;
import plumpost.fleet.PlannedJobs;
import plumpost.fleet.Sessions.Session;

/** Formats the output of {@code fleet show --json}: members, duties, bans and the schedule in the fleet's agreed state. */
final class FleetJson {
    private FleetJson() {}

    static String format(FleetState state, String leader) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("leader", leader);
            json.writeNumberField("format", state.sessions().format());
            json.writeArrayFieldStart("members");
            for (Session session : state.sessions().all()) {
                json.writeStartObject();
                json.writeStringField("name", session.name());
                json.writeStringField("state", session.state().name().toLowerCase(java.util.Locale.ROOT));
                json.writeNumberField("incarnation", session.incarnation());
                json.writeStringField("site", session.site());
                json.writeNumberField("reads", session.maxFormat());
                json.writeBooleanField("vote", session.vote());
                writeStrings(json, "functions", session.functions());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("duties");
            for (Duty duty : state.duties().all()) {
                json.writeStartObject();
                json.writeStringField("name", duty.name());
                json.writeStringField("owner", duty.owner());
                json.writeNumberField("fence", duty.fence());
                json.writeStringField("site", duty.site());
                json.writeEndObject();
            }
            json.writeEndArray();
            writeStrings(json, "offline", state.bans());
            json.writeObjectFieldStart("schedule");
            for (PlannedJobs.State plannedState : PlannedJobs.State.values()) {
                if (plannedState != PlannedJobs.State.ENDED) {
                    json.writeNumberField(
                            plannedState.name().toLowerCase(java.util.Locale.ROOT),
                            state.plannedJobs().all().stream()
                                    .filter(p -> p.state() == plannedState)
                                    .count());
                }
            }
            json.writeNumberField("ended", state.plannedJobs().ended());
            writeStrings(json, "givenUp", state.plannedJobs().givenUp());
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a StringWriter does not fail
        }
        return text.toString();
    }

    private static void writeStrings(JsonGenerator json, String name, Collection<String> values) throws IOException {
        json.writeArrayFieldStart(name);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }
}
