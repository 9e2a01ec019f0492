package plumpost.platform;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.http.Head;

/**
 * The header fields of the protocol page, read strictly: each at most once, since two readers might take different ones. A
 * {@link BadInput} names the malformed field and its value.
 */
final class JobFields {
    private static final String ID = "X-Txn";
    private static final String CLASS = "X-Lane";
    private static final String REMAINING = "X-Remaining-Ms";
    private static final String ESTIMATE = "X-Estimate";
    private static final String LABELS = "X-Labels";
    private static final String RETRY = "X-Resent";
    private static final String COOKIE = "Cookie";

    /** The names of the fields in lower case; none of them may come in a trailer. */
    static final Set<String> NAMES =
            Set.of("x-txn", "x-lane", "x-remaining-ms", "x-estimate", "x-labels", "x-resent", "cookie");

    private static final String KEY_COOKIE_PREFIX = "obj=";
    /** The form of ids that a worker reads and returns unchanged: printable ASCII without spaces. */
    private static final Pattern ID_FORM = Pattern.compile("[!-~]{1,128}");

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern LABEL =
            Pattern.compile("([a-z0-9!#$%&'*+.^_`|~-]+)=(-?[0-9]+(?:\\.[0-9]+)?(?:e[+-]?[0-9]+)?)");
    private static final double MAX_SLOTS = 64;

    private final Head head;

    JobFields(Head head) {
        this.head = head;
    }

    /** Returns the value of a field, or null if there is none. */
    private String single(String name) {
        if (head.isRepeated(name)) {
            throw new BadInput(name + " is given more than once");
        }
        return head.field(name);
    }

    private static boolean isId(String text) {
        return text != null && ID_FORM.matcher(text).matches();
    }

    /** Returns the id. */
    String id() {
        String id = head.singleField(ID);
        if (!isId(id)) {
            throw new BadInput(ID);
        }
        return id;
    }

    /** Returns the id, or null if there is none of the form of ids. */
    static String idOrNull(Head head) {
        String id = head.singleField(ID);
        return isId(id) ? id : null;
    }

    /** Checks that the class which the field names, if there is one, is that of the path. */
    void checkClass(JobClass jobClass) {
        String name = single(CLASS);
        if (name != null && !name.equals(jobClass.name())) {
            throw new BadInput(CLASS + " is " + name);
        }
    }

    /** Returns how long the client waits, in milliseconds. */
    double remainingMs(double defaultMs) {
        return wholeNumber(REMAINING, defaultMs);
    }

    /** Returns the client's guess at the work, in microseconds, or NaN. */
    double estimateMicros() {
        return wholeNumber(ESTIMATE, Double.NaN);
    }

    private double wholeNumber(String field, double defaultValue) {
        String text = single(field);
        if (text == null) {
            return defaultValue;
        }
        if (!WHOLE_NUMBER.matcher(text).matches()) {
            throw new BadInput(field + " is " + text + ", not a whole number");
        }
        return Long.parseLong(text);
    }

    /** Returns whether the client marked the request as a retry. */
    boolean isRetry() {
        String text = single(RETRY);
        if (text != null && !text.equals("1") && !text.equals("0")) {
            throw new BadInput(RETRY + " is " + text + ", not 1");
        }
        return "1".equals(text);
    }

    /** Returns the figures of the labels by name, in lower case. */
    Fields labels() {
        String text = single(LABELS);
        Map<String, Object> figures = new LinkedHashMap<>();
        if (text != null && !text.isBlank()) {
            for (String label : text.toLowerCase(Locale.ROOT).split(",", -1)) {
                addLabel(figures, label.strip());
            }
        }
        return new Fields(LABELS, figures);
    }

    private static void addLabel(Map<String, Object> figures, String label) {
        var matcher = LABEL.matcher(label);
        if (!matcher.matches() || Double.isInfinite(Double.parseDouble(matcher.group(2)))) {
            throw new BadInput(LABELS + " has " + label + ", not a name and a number");
        }
        if (figures.put(matcher.group(1), Double.valueOf(matcher.group(2))) != null) {
            throw new BadInput(LABELS + " has " + matcher.group(1) + " more than once");
        }
    }

    /** Returns the slots that the job occupies, by its labels. */
    static double slots(Fields labels) {
        double slots = labels.number("slots", labels.number("needs", 1));
        if (!(slots > 0 && slots <= MAX_SLOTS)) {
            throw new BadInput(LABELS + " has " + slots + " slots");
        }
        return slots;
    }

    /** Returns the memory that the job needs, by its labels, or NaN. */
    static double memory(Fields labels) {
        double memory = labels.number("memory", Double.NaN);
        if (memory < 0) {
            throw new BadInput(LABELS + " has memory " + memory);
        }
        return memory;
    }

    /** Returns the affinity key from the request's cookies, or null if there is none. */
    String key() {
        String key = null;
        for (String cookies : head.fields(COOKIE)) {
            for (String part : cookies.split(";")) {
                if (part.strip().startsWith(KEY_COOKIE_PREFIX)) {
                    if (key != null) {
                        throw new BadInput(COOKIE + " has " + KEY_COOKIE_PREFIX + " more than once");
                    }
                    key = part.strip().substring(KEY_COOKIE_PREFIX.length());
                }
            }
        }
        return key;
    }
}
