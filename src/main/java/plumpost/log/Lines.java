package plumpost.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/** A logger of lines; warnings and all above are told, and what is below from info on. */
final class Lines extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    private static volatile String who = "plumpost";
    private static volatile boolean json;

    Lines(String name) {
        this.name = name;
    }

    static void begin(String name, boolean asJson) {
        who = name;
        json = asJson;
    }

    /** The line of an entry, without its end. */
    static String line(String who, boolean json, Level level, String logger, String message, Throwable thrown) {
        if (!json) {
            return who + ": " + message + (thrown == null ? "" : ": " + thrown);
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator j = new JsonFactory().createGenerator(text)) {
            j.writeStartObject();
            j.writeStringField("time", Instant.now().toString());
            j.writeStringField("level", level.name());
            j.writeStringField("name", who);
            j.writeStringField("logger", logger);
            j.writeStringField("message", message);
            if (thrown != null) {
                j.writeStringField("thrown", thrown.toString());
            }
            j.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a string takes everything
        }
        return text.toString();
    }

    @Override
    protected void handleNormalizedLoggingCall(Level level, Marker marker, String pattern, Object[] arguments,
                                               Throwable thrown) {
        System.err.println(line(who, json, level, name, MessageFormatter.basicArrayFormat(pattern, arguments),
            thrown));
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return true;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}
