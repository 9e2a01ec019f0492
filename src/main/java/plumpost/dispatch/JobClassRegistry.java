package plumpost.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import plumpost.decision.Dispatcher.JobClass;
import plumpost.decision.Dispatcher.Settings;

/**
 * The job classes across the settings that SIGHUP loads. Each name keeps the number that it first had, so that open
 * jobs keep their class and counters keep their name; a new name is numbered after all others. A class that a file
 * omits is rejected after a grace period, in which jobs sent before the change still arrive. Callers pass the time.
 */
public final class JobClassRegistry {
    /** Time for which a removed class still accepts jobs, since some sent before the change are still to arrive. */
    public static final double REMOVED_CLASS_GRACE_MS = 2_000;

    private final List<JobClass> knownClasses = new ArrayList<>();
    private double[] removedAtMs;
    private Settings current;

    /** Creates a registry with the classes of the first settings, all of which accept jobs. */
    public JobClassRegistry(Settings first) {
        knownClasses.addAll(first.classes());
        removedAtMs = new double[knownClasses.size()];
        Arrays.fill(removedAtMs, Double.NaN);
        current = first;
    }

    /** Returns the settings for the module: the newest, with every class ever known under its number. */
    public Settings settings() {
        return current;
    }

    /**
     * Merges new settings: a known name keeps its number and gets the new definition for new jobs; a new name is
     * numbered after the others; a known name that is omitted stops accepting jobs after
     * {@link #REMOVED_CLASS_GRACE_MS}.
     *
     * @throws IllegalArgumentException with the count, if more than {@link Settings#MAX_CLASSES} names would be known
     */
    public Settings retune(Settings next, double nowMs) {
        List<JobClass> merged = new ArrayList<>(knownClasses);
        boolean[] present = new boolean[knownClasses.size() + next.classes().size()];
        for (JobClass jobClass : next.classes()) {
            int number = indexOf(merged, jobClass.name());
            if (number < 0) {
                number = merged.size();
                merged.add(jobClass);
            } else {
                merged.set(number, jobClass);
            }
            present[number] = true;
        }
        if (merged.size() > Settings.MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "classes: " + merged.size() + " names in all, more than " + Settings.MAX_CLASSES);
        }
        double[] newRemovedAtMs = Arrays.copyOf(removedAtMs, merged.size());
        for (int i = 0; i < merged.size(); i++) {
            if (present[i]) {
                newRemovedAtMs[i] = Double.NaN;
            } else if (i >= removedAtMs.length || Double.isNaN(removedAtMs[i])) {
                newRemovedAtMs[i] = nowMs;
            }
        }
        knownClasses.clear();
        knownClasses.addAll(merged);
        removedAtMs = newRemovedAtMs;
        current = next.with(next.zone(), merged);
        return current;
    }

    /** Returns the longest deadline in milliseconds of the classes that the newest settings name. */
    public double longestDeadlineMs() {
        double longestMs = 0;
        for (int number = 0; number < knownClasses.size(); number++) {
            if (Double.isNaN(removedAtMs[number])) {
                longestMs = Math.max(longestMs, knownClasses.get(number).deadlineMs());
            }
        }
        return longestMs;
    }

    /** Returns the number of a class that accepts new jobs at this time, or -1. */
    public int findOffered(String name, double nowMs) {
        int number = indexOf(knownClasses, name);
        return number >= 0
                        && (Double.isNaN(removedAtMs[number]) || nowMs - removedAtMs[number] < REMOVED_CLASS_GRACE_MS)
                ? number
                : -1;
    }

    private static int indexOf(List<JobClass> classes, String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
