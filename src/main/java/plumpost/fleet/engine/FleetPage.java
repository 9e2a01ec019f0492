package plumpost.fleet.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Collection;
import plumpost.fleet.Duties.Duty;
import plumpost.fleet.FleetBook;
import plumpost.fleet.Plans;
import plumpost.fleet.Sessions.Session;

/** What {@code fleet show --json} prints: members, duties, bans and the schedule, as the fleet has agreed on them. */
final class FleetPage {
    private FleetPage() {}

    static String json(FleetBook book, String leader) {
        StringWriter text = new StringWriter();
        try (JsonGenerator j = new JsonFactory().createGenerator(text)) {
            j.writeStartObject();
            j.writeStringField("leader", leader);
            j.writeNumberField("format", book.sessions().format());
            j.writeArrayFieldStart("members");
            for (Session s : book.sessions().all()) {
                j.writeStartObject();
                j.writeStringField("name", s.name());
                j.writeStringField("state", s.state().name().toLowerCase(java.util.Locale.ROOT));
                j.writeNumberField("incarnation", s.incarnation());
                j.writeStringField("site", s.site());
                j.writeNumberField("reads", s.reads());
                j.writeBooleanField("vote", s.vote());
                strings(j, "functions", s.functions());
                j.writeEndObject();
            }
            j.writeEndArray();
            j.writeArrayFieldStart("duties");
            for (Duty d : book.duties().all()) {
                j.writeStartObject();
                j.writeStringField("name", d.name());
                j.writeStringField("owner", d.owner());
                j.writeNumberField("fence", d.fence());
                j.writeStringField("site", d.site());
                j.writeEndObject();
            }
            j.writeEndArray();
            strings(j, "offline", book.bans());
            j.writeObjectFieldStart("schedule");
            for (Plans.State state : Plans.State.values()) {
                if (state != Plans.State.ENDED) {
                    j.writeNumberField(
                            state.name().toLowerCase(java.util.Locale.ROOT),
                            book.plans().all().stream()
                                    .filter(p -> p.state() == state)
                                    .count());
                }
            }
            j.writeNumberField("ended", book.plans().ended());
            strings(j, "givenUp", book.plans().givenUp());
            j.writeEndObject();
            j.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a string takes everything
        }
        return text.toString();
    }

    private static void strings(JsonGenerator j, String name, Collection<String> all) throws IOException {
        j.writeArrayFieldStart(name);
        for (String s : all) {
            j.writeString(s);
        }
        j.writeEndArray();
    }
}
