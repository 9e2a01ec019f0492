package plumpost.platform;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import plumpost.config.Json.BadInput;
import plumpost.config.Json.Fields;
import plumpost.config.LoadReports;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.dispatch.JobRequest;
import plumpost.http.Head;
import plumpost.http.RequestReader;
import plumpost.time.TimerWheel;

/** Reads a job out of a client's HTTP request, by the protocol page's header fields. */
final class JobRequestReader {
    /** Fields that a link to a worker words itself; all others pass on, such as the key under which it drops repeats. */
    private static final Set<String> REWORDED = Set.of("x-txn", "x-lane", "x-remaining-ms");

    private static final String ID = "X-Txn";
    private static final String CLASS = "X-Lane";
    private static final String REMAINING = "X-Remaining-Ms";
    private static final String ESTIMATE = "X-Estimate";
    private static final String LABELS = "X-Labels";
    private static final String RETRY = "X-Resent";
    private static final String KEY_COOKIE = "obj=";
    /** What a worker could read or say back otherwise is no id. */
    private static final String ID_FORM = "[!-~]{1,128}";

    private static final double MOST_SLOTS = 64;
    private static final double MICROS_PER_MS = 1000.0;

    private JobRequestReader() {}

    /**
     * The job of a whole request; {@link BadInput} names the field that is malformed, and its value.
     *
     * @param request the request
     * @param classIndex its class, as its path names it
     * @param jobClass that class in the settings in force
     * @param unreadMs how long the request may have lain unread: its client's time runs since then
     */
    static JobRequest read(RequestReader request, int classIndex, JobClass jobClass, double unreadMs) {
        Head head = request.head();
        String id = head.only(ID);
        if (id == null || !id.matches(ID_FORM)) {
            throw new BadInput(ID);
        }
        String named = head.field(CLASS);
        if (named != null && !named.equals(jobClass.name())) {
            throw new BadInput(CLASS + " is " + named);
        }
        String labels = head.field(LABELS);
        Fields figures = new Fields(
                LABELS,
                labels == null || labels.isBlank() ? Map.of() : LoadReports.pairs(labels.toLowerCase(Locale.ROOT)));
        double slots = figures.number("slots", figures.number("needs", 1));
        if (!(slots > 0 && slots <= MOST_SLOTS)) {
            throw new BadInput(LABELS + " has " + slots + " slots");
        }
        double remaining = Math.min(number(head, REMAINING, jobClass.deadlineMs()), jobClass.deadlineMs());
        double costMs = Math.min(number(head, ESTIMATE, Double.NaN) / MICROS_PER_MS, jobClass.deadlineMs());
        return new JobRequest(
                id,
                classIndex,
                request.target(),
                head.passedOn(REWORDED),
                request.body(),
                unreadMs > TimerWheel.TICK_MS ? remaining - unreadMs : remaining,
                costMs,
                slots,
                figures.number("memory", Double.NaN),
                0,
                key(head),
                "1".equals(head.field(RETRY)),
                null,
                new JobRequest.Work(classIndex, null, null, null, 0, Double.NaN));
    }

    private static double number(Head head, String field, double otherwise) {
        String text = head.field(field);
        if (text == null) {
            return otherwise;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadInput(field + " is " + text + ", not a whole number");
        }
    }

    /** What the request is about, where its cookie says so, else null. */
    private static String key(Head head) {
        String cookie = head.field("Cookie");
        if (cookie != null) {
            for (String part : cookie.split(";")) {
                if (part.strip().startsWith(KEY_COOKIE)) {
                    return part.strip().substring(KEY_COOKIE.length());
                }
            }
        }
        return null;
    }
}
