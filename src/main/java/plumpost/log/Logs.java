package plumpost.log;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where a scheduler's log lines go. */
public final class Logs {
    private Logs() {}

    /**
     * Takes lines to standard error: through SLF4J in the given form, or, where none is given, as plain text without
     * loading any of it, which is worth some 6 ms of a start on half a core.
     */
    public static Consumer<String> sink(String name, String format) {
        if (format == null) {
            return words -> System.err.println(name + ": " + words);
        }
        LinesProvider.begin(name, format.equals("json"));
        Logger log = LoggerFactory.getLogger("plumpost");
        return log::info;
    }
}
