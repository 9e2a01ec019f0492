package plumpost.config;

import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;

/**
 * The section {@code log} of a configuration.
 *
 * @param format text or json, or null if the file has no such section
 * @param logsRequests whether the events of each request are logged
 * @param requestLinesPerSecond the most lines about requests per second
 */
public record LogConfig(String format, boolean logsRequests, int requestLinesPerSecond) {
    private static final int DEFAULT_LINES_PER_SECOND = 500;
    private static final int MAX_LINES_PER_SECOND = 1_000_000;

    /** The settings of a file without the section. */
    public static final LogConfig DEFAULT = new LogConfig(null, false, DEFAULT_LINES_PER_SECOND);

    /** Reads the section; a {@link BadInput} names the field and its value. */
    static LogConfig read(Fields section) {
        section.allowOnly("format", "level", "requestLinesPerSecond");
        double linesPerSecond = section.number("requestLinesPerSecond", DEFAULT_LINES_PER_SECOND);
        if (!(linesPerSecond >= 1 && linesPerSecond <= MAX_LINES_PER_SECOND)
                || linesPerSecond != Math.rint(linesPerSecond)) {
            throw new BadInput(section.context() + ": field requestLinesPerSecond is " + linesPerSecond
                    + ", not a whole number from 1 to " + MAX_LINES_PER_SECOND);
        }
        return new LogConfig(
                oneOf(section, "format", "text", "json"),
                oneOf(section, "level", "info", "debug").equals("debug"),
                (int) linesPerSecond);
    }

    private static String oneOf(Fields section, String field, String defaultValue, String other) {
        String value = section.text(field, defaultValue);
        if (!value.equals(defaultValue) && !value.equals(other)) {
            throw new BadInput(
                    section.context() + ": field " + field + " is " + value + ", not " + defaultValue + " or " + other);
        }
        return value;
    }
}
