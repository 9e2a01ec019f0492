package plumpost.platform;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.JobSpec;
import plumpost.http.Head;
import plumpost.http.RequestReader;
import plumpost.time.TimerWheel;

/** Reads a job from a client's HTTP request, by the header fields of the protocol page. */
final class JobRequestReader {
    /** Fields that a link to a worker writes itself; all others are forwarded, such as the key by which workers drop repeats. */
    private static final Set<String> REPLACED_FIELDS = Set.of("x-txn", "x-lane", "x-remaining-ms");

    private static final String ID = "X-Txn";
    private static final String CLASS = "X-Lane";
    private static final String REMAINING = "X-Remaining-Ms";
    private static final String ESTIMATE = "X-Estimate";
    private static final String LABELS = "X-Labels";
    private static final String RETRY = "X-Resent";
    /** Separates this front's keys from those of others, which begin with the name of a function. */
    private static final String KEY_PREFIX = "\0http\0";

    private static final String KEY_COOKIE_PREFIX = "obj=";
    /** The form of ids that a worker reads and returns unchanged: printable ASCII without spaces. */
    private static final String ID_PATTERN = "[!-~]{1,128}";

    private static final double MAX_SLOTS = 64;
    private static final double MICROS_PER_MS = 1000.0;

    private JobRequestReader() {}

    /**
     * Returns the job of a complete request; a {@link BadInput} names the malformed field and its value.
     *
     * @param request the request
     * @param classIndex the index of the class that the path names
     * @param jobClass that class in the current settings
     * @param unreadMs how long the request may have waited unread; it is subtracted from the client's remaining time
     */
    static JobSpec read(RequestReader request, int classIndex, JobClass jobClass, double unreadMs) {
        Head head = request.head();
        String id = head.singleField(ID);
        if (id == null || !id.matches(ID_PATTERN)) {
            throw new BadInput(ID);
        }
        String className = head.field(CLASS);
        if (className != null && !className.equals(jobClass.name())) {
            throw new BadInput(CLASS + " is " + className);
        }
        String labels = head.field(LABELS);
        Fields labelFields = new Fields(
                LABELS,
                labels == null || labels.isBlank()
                        ? Map.of()
                        : LoadReports.parsePairs(labels.toLowerCase(Locale.ROOT)));
        double slots = labelFields.number("slots", labelFields.number("needs", 1));
        if (!(slots > 0 && slots <= MAX_SLOTS)) {
            throw new BadInput(LABELS + " has " + slots + " slots");
        }
        double remaining = Math.min(number(head, REMAINING, jobClass.deadlineMs()), jobClass.deadlineMs());
        double costMs = Math.min(number(head, ESTIMATE, Double.NaN) / MICROS_PER_MS, jobClass.deadlineMs());
        return new JobSpec(
                id,
                classIndex,
                request.target(),
                head.forwardedFields(REPLACED_FIELDS),
                request.body(),
                unreadMs > TimerWheel.TICK_MS ? remaining - unreadMs : remaining,
                costMs,
                slots,
                labelFields.number("memory", Double.NaN),
                0,
                key(head),
                "1".equals(head.field(RETRY)),
                KEY_PREFIX + id,
                true,
                new JobSpec.Work(classIndex, null, null, null, 0, Double.NaN));
    }

    /** Returns the id of a request for logs, or {@code "-"} if it has none of the form of ids. */
    static String loggableId(Head head) {
        String id = head.singleField(ID);
        return id != null && id.matches(ID_PATTERN) ? id : "-";
    }

    /** Returns the unique key of a request whose head is complete, or null if it has no id. */
    static String uniqueKey(RequestReader request) {
        String id = request.head().singleField(ID);
        return id == null ? null : KEY_PREFIX + id;
    }

    private static double number(Head head, String field, double defaultValue) {
        String text = head.field(field);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadInput(field + " is " + text + ", not a whole number");
        }
    }

    /** Returns the affinity key from the request's cookie, or null if there is none. */
    private static String key(Head head) {
        String cookie = head.field("Cookie");
        if (cookie != null) {
            for (String part : cookie.split(";")) {
                if (part.strip().startsWith(KEY_COOKIE_PREFIX)) {
                    return part.strip().substring(KEY_COOKIE_PREFIX.length());
                }
            }
        }
        return null;
    }
}
