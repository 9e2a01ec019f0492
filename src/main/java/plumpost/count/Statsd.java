package plumpost.count;

import java.util.Collection;
import java.util.Map;

/**
 * Formats the operators' metrics in the statsd line format: {@code prefix.name:value|c} for counts since the start of
 * the process and {@code |g} for gauges.
 */
public final class Statsd {
    private Statsd() {}

    /**
     * Returns the metrics as lines: for each class, jobs served, refused and failed and attempts written in full; such
     * attempts of all classes; SIGHUP files applied and rejected; then the given gauges in their order.
     */
    public static String lines(String prefix, Counters counters, Collection<String> classes, Map<String, Long> gauges) {
        StringBuilder text = new StringBuilder(64 * (4 * classes.size() + gauges.size() + 3));
        long forwards = 0;
        for (String className : classes) {
            count(text, prefix, "succeeded." + className, counters.get("jobs.served." + className));
            count(text, prefix, "declined." + className, counters.get("jobs.refused." + className));
            count(text, prefix, "aborted." + className, counters.get("jobs.failed." + className));
            long sent = counters.get("attempts.whole." + className);
            count(text, prefix, "forwards." + className, sent);
            forwards += sent;
        }
        count(text, prefix, "forwards", forwards);
        count(text, prefix, "sighup_applied", counters.get("config.applied"));
        count(text, prefix, "sighup_rejected", counters.get("config.rejected"));
        gauges.forEach((name, value) -> line(text, prefix, name, value, "g"));
        return text.toString();
    }

    private static void count(StringBuilder text, String prefix, String name, long value) {
        line(text, prefix, name, value, "c");
    }

    private static void line(StringBuilder text, String prefix, String name, long value, String type) {
        text.append(prefix)
                .append('.')
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
