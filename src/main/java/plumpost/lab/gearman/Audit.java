package plumpost.lab.gearman;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a run has to answer for: how often each job was begun, and how many final answers each submit got. */
final class Audit {
    private static final int EXAMPLES = 20;

    private final byte[] begun;
    private final byte[] wanted;
    private final byte[] finals;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();

    Audit(int jobs) {
        begun = new byte[jobs];
        wanted = new byte[jobs];
        finals = new byte[jobs];
    }

    synchronized void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** The most of a figure. */
    synchronized void most(String what, double value) {
        counts.merge(what, (int) Math.ceil(value), Math::max);
    }

    /** A worker was given the job; true the first time. */
    synchronized boolean begun(Work w) {
        if (w.number() >= 0 && w.number() < begun.length && begun[w.number()] < 100) {
            begun[w.number()]++;
            if (w.order() && begun[w.number()] > 1) {
                broken("order begun twice", w.number());
            }
            return begun[w.number()] == 1;
        }
        return false;
    }

    /** A client waits for the job, once for each submit that the server has taken. */
    synchronized void waits(int number) {
        wanted[number]++;
    }

    /** A client that waited has gone, and is owed nothing. */
    synchronized void gone(int number) {
        wanted[number]--;
    }

    synchronized void finalAnswer(int number) {
        finals[number]++;
    }

    synchronized void broken(String rule, int number) {
        counts.merge("broken: " + rule, 1, Integer::sum);
        if (examples.size() < EXAMPLES) {
            examples.add(rule + ": job " + number);
        }
    }

    /** Holds what was wanted against what came; then all that is broken is counted. */
    synchronized void close() {
        for (int i = 0; i < finals.length; i++) {
            if (finals[i] < wanted[i]) {
                broken("no final answer", i);
            } else if (finals[i] > wanted[i]) {
                broken("more than one final answer", i);
            }
        }
    }

    synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }

    synchronized List<String> examples() {
        return List.copyOf(examples);
    }

    synchronized int brokenRules() {
        return counts.entrySet().stream()
                .filter(e -> e.getKey().startsWith("broken: "))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }
}
