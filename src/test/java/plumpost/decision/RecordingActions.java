package plumpost.decision;

import java.util.ArrayList;
import java.util.List;

/** An {@link Dispatcher.Actions} that writes down what it is asked, a line an action. */
class RecordingActions implements Dispatcher.Actions {
    final List<String> lines = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();

    /** The lines that begin with a word, and forgets all. */
    List<String> takeStartingWith(String word) {
        List<String> found = lines.stream().filter(l -> l.startsWith(word)).toList();
        lines.clear();
        return found;
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
    public void timer(double atMs, long token) {
        timers.add(atMs);
    }

    @Override
    public void subscribe() {
        lines.add("subscribe");
    }

    @Override
    public void log(String message) {
        lines.add("log " + message);
    }
}
