package plumpost.count;

import java.util.Collection;
import java.util.Map;

/**
 * The operators' figures in statsd's line form, {@code prefix.name:value|c} for counts since the start of the process
 * and {@code |g} for gauges, taken from the counters at the moment they are asked for.
 */
public final class Statsd {
    private Statsd() {}

    /**
     * The figures: by class, jobs served, refused and failed and attempts written whole; attempts of all classes;
     * SIGHUP files taken and turned down; then the gauges as given, in their order.
     */
    public static String lines(String prefix, Counters counts, Collection<String> classes, Map<String, Long> gauges) {
        StringBuilder b = new StringBuilder(64 * (4 * classes.size() + gauges.size() + 3));
        long forwards = 0;
        for (String c : classes) {
            count(b, prefix, "succeeded." + c, counts.of("jobs.served." + c));
            count(b, prefix, "declined." + c, counts.of("jobs.refused." + c));
            count(b, prefix, "aborted." + c, counts.of("jobs.failed." + c));
            long whole = counts.of("attempts.whole." + c);
            count(b, prefix, "forwards." + c, whole);
            forwards += whole;
        }
        count(b, prefix, "forwards", forwards);
        count(b, prefix, "sighup_applied", counts.of("config.applied"));
        count(b, prefix, "sighup_rejected", counts.of("config.rejected"));
        gauges.forEach((name, value) -> line(b, prefix, name, value, "g"));
        return b.toString();
    }

    private static void count(StringBuilder b, String prefix, String name, long value) {
        line(b, prefix, name, value, "c");
    }

    private static void line(StringBuilder b, String prefix, String name, long value, String type) {
        b.append(prefix)
                .append('.')
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
