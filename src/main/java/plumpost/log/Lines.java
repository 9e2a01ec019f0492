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

/** An SLF4J logger that prints one line per entry to standard error, from level INFO upwards. */
final class Lines extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    /** Whether the logger belongs to the Raft library, which logs much per connection: only its errors are printed. */
    private final boolean fromLibrary;

    private static volatile String processName = "plumpost";
    private static volatile boolean json;
    private static final long LIBRARY_INTERVAL_NS = 10_000_000_000L;
    private static long lastLibraryLineNs;

    Lines(String name) {
        this.name = name;
        fromLibrary = name.startsWith("org.apache.ratis");
    }

    static void configure(String process, boolean asJson) {
        processName = process;
        json = asJson;
    }

    /** Formats the line of an entry, without the line break. */
    static String line(String process, boolean asJson, Level level, String logger, String message, Throwable thrown) {
        if (!asJson) {
            return process + ": " + message + (thrown == null ? "" : ": " + thrown);
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(text)) {
            generator.writeStartObject();
            generator.writeStringField("time", Instant.now().toString());
            generator.writeStringField("level", level.name());
            generator.writeStringField("name", process);
            generator.writeStringField("logger", logger);
            generator.writeStringField("message", message);
            if (thrown != null) {
                generator.writeStringField("thrown", thrown.toString());
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a StringWriter does not fail
        }
        return text.toString();
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
        if (fromLibrary && !isLibraryLineDue()) {
            return;
        }
        System.err.println(
                line(processName, json, level, name, MessageFormatter.basicArrayFormat(pattern, arguments), thrown));
    }

    /** Limits the library's errors, hundreds of which follow the loss of a peer, to one per interval. */
    private static synchronized boolean isLibraryLineDue() {
        long nowNs = System.nanoTime();
        boolean due = lastLibraryLineNs == 0 || nowNs - lastLibraryLineNs > LIBRARY_INTERVAL_NS;
        lastLibraryLineNs = due ? nowNs : lastLibraryLineNs;
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
        return !fromLibrary;
    }

    @Override
    public boolean isWarnEnabled() {
        return !fromLibrary;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}
