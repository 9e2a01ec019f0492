package plumpost.dispatch;

import java.util.function.Consumer;
import plumpost.count.Counters;
import plumpost.time.Clock;

/**
 * Logs the events of each request by its id, as {@code key=value} lines, so that one request can be followed from its
 * submission to its answer. The lines per second are limited; lines above the limit are counted and left out.
 */
public final class RequestLog {
    private static final double WINDOW_MS = 1_000;

    private final Consumer<String> sink;
    private final Clock clock;
    private final Counters counters;
    private final int maxLinesPerWindow;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int linesInWindow;
    private long omittedLines;

    private RequestLog(Consumer<String> sink, Clock clock, Counters counters, int linesPerSecond) {
        this.sink = sink;
        this.clock = clock;
        this.counters = counters;
        this.maxLinesPerWindow = linesPerSecond;
    }

    /** Creates a log of at most the given number of lines per second. */
    public static RequestLog to(Consumer<String> sink, Clock clock, Counters counters, int linesPerSecond) {
        return new RequestLog(sink, clock, counters, linesPerSecond);
    }

    /** Returns a log that writes nothing. */
    public static RequestLog disabled() {
        return new RequestLog(null, null, null, 0);
    }

    /** Returns whether events are logged; callers build the text of an event only then. */
    public boolean isEnabled() {
        return sink != null;
    }

    /**
     * Logs an event of a request.
     *
     * @param id the request's id
     * @param event the name of the event
     * @param details further {@code key=value} pairs, or an empty text
     */
    public void event(String id, String event, String details) {
        if (!isEnabled()) {
            return;
        }
        double nowMs = clock.nowMs();
        if (nowMs - windowStartMs >= WINDOW_MS) {
            startWindow(nowMs);
        }
        if (linesInWindow >= maxLinesPerWindow) {
            omittedLines++;
            counters.count("log.omitted");
            return;
        }
        linesInWindow++;
        sink.accept("request id=" + id + " at_ms=" + Math.round(nowMs) + " event=" + event
                + (details.isEmpty() ? "" : " " + details));
    }

    /** Logs an event of an attempt; {@code details} are further pairs that begin with a space, or empty. */
    void attempt(Attempt attempt, String event, String details) {
        if (isEnabled()) {
            event(attempt.spec().id(), event, "number=" + attempt.number + " worker=" + attempt.node + details);
        }
    }

    private void startWindow(double nowMs) {
        windowStartMs = nowMs;
        linesInWindow = 0;
        if (omittedLines > 0) {
            sink.accept("request log: " + omittedLines + " lines were left out, over the limit of " + maxLinesPerWindow
                    + " a second");
            omittedLines = 0;
        }
    }
}
