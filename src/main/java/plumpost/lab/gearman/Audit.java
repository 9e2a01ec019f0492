package plumpost.lab.gearman;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks a run's rules: counts how often each job was begun and how many final answers its submits got. Thread-safe. */
final class Audit {
    private static final int MAX_EXAMPLES = 20;

    private final byte[] begun;
    private final byte[] expectedFinals;
    private final byte[] finals;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();

    Audit(int jobs) {
        begun = new byte[jobs];
        expectedFinals = new byte[jobs];
        finals = new byte[jobs];
    }

    synchronized void count(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    /** Records a value of which the maximum is reported. */
    synchronized void recordMax(String name, double value) {
        counts.merge(name, (int) Math.ceil(value), Math::max);
    }

    /** Records that a worker was given the job; returns whether this was the first time. */
    synchronized boolean jobBegun(JobPayload payload) {
        if (payload.number() >= 0 && payload.number() < begun.length && begun[payload.number()] < 100) {
            begun[payload.number()]++;
            if (payload.order() && begun[payload.number()] > 1) {
                recordBroken("order begun twice", payload.number());
            }
            return begun[payload.number()] == 1;
        }
        return false;
    }

    /** Expects one more final answer for the job, once for each submit that is sent. */
    synchronized void clientWaits(int number) {
        expectedFinals[number]++;
    }

    /** Expects one final answer less, because a client that waited has disconnected. */
    synchronized void clientGone(int number) {
        expectedFinals[number]--;
    }

    synchronized void finalAnswer(int number) {
        finals[number]++;
    }

    synchronized void recordBroken(String rule, int number) {
        counts.merge("broken: " + rule, 1, Integer::sum);
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(rule + ": job " + number);
        }
    }

    /** Compares expected and received final answers at the end of the run and records the differences. */
    synchronized void checkFinalAnswers() {
        for (int i = 0; i < finals.length; i++) {
            if (finals[i] < expectedFinals[i]) {
                recordBroken("no final answer", i);
            } else if (finals[i] > expectedFinals[i]) {
                recordBroken("more than one final answer", i);
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
