package plumpost.decision;

import java.util.ArrayList;
import java.util.List;

/** Records each requested action as a line of text, and the times of requested timers. */
class RecordingActions implements Dispatcher.Actions {
    final List<String> lines = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();

    /** Returns the recorded lines that start with a prefix, and clears all lines. */
    List<String> takeStartingWith(String prefix) {
        List<String> matching =
                lines.stream().filter(line -> line.startsWith(prefix)).toList();
        lines.clear();
        return matching;
    }

    @Override
    public void assign(String job, String worker, double timeoutMs) {
        lines.add("assign " + job + " " + worker);
    }

    @Override
    public void refuse(String job, double retryAfterMs) {
        lines.add("refuse " + job);
    }

    @Override
    public void fail(String job) {
        lines.add("fail " + job);
    }

    @Override
    public void cancel(String job, int attempt) {
        lines.add("cancel " + job + " " + attempt);
    }

    @Override
    public void probe(String worker) {
        lines.add("probe " + worker);
    }

    @Override
    public void requestTimer(double atMs, long token) {
        timers.add(atMs);
    }

    @Override
    public void requestWorkerList() {
        lines.add("subscribe");
    }

    @Override
    public void log(String message) {
        lines.add("log " + message);
    }
}
