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
    /** The fleet's engine tells at length of each connection: of it only errors are printed. */
    private final boolean library;

    private static volatile String who = "plumpost";
    private static volatile boolean json;
    private static final long LIBRARY_NS = 10_000_000_000L;
    private static long toldAt;

    Lines(String name) {
        this.name = name;
        library = name.startsWith("org.apache.ratis");
    }

    static void begin(String name, boolean asJson) {
        who = name;
        json = asJson;
    }

    /** The line of an entry, without its end. */
    static String line(String process, boolean asJson, Level level, String logger, String message, Throwable thrown) {
        if (!asJson) {
            return process + ": " + message + (thrown == null ? "" : ": " + thrown);
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator j = new JsonFactory().createGenerator(text)) {
            j.writeStartObject();
            j.writeStringField("time", Instant.now().toString());
            j.writeStringField("level", level.name());
            j.writeStringField("name", process);
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
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
        if (library && !dueAgain()) {
            return;
        }
        System.err.println(line(who, json, level, name, MessageFormatter.basicArrayFormat(pattern, arguments), thrown));
    }

    /** Of a library's errors, which come by the hundred where a peer is gone, one in so many seconds is told. */
    private static synchronized boolean dueAgain() {
        long now = System.nanoTime();
        boolean due = toldAt == 0 || now - toldAt > LIBRARY_NS;
        toldAt = due ? now : toldAt;
        return due;
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
        return !library;
    }

    @Override
    public boolean isWarnEnabled() {
        return !library;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}
