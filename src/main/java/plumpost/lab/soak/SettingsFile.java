package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import plumpost.decision.Dispatcher.Effect;

/** The classes of one settings file of a scheduler; the class of the Gearman functions is in each of them. */
record SettingsFile(List<RequestClass> classes) {
    private static final double SHORT_DEADLINE_MS = 1_000;
    private static final double MAX_COUNTED_DEADLINE_MS = 3_000;
    private static final double KILL_AFTER_DEADLINE_MS = 700;

    /** Returns the file that schedulers start with. */
    static SettingsFile initial() {
        return new SettingsFile(RequestClass.INITIAL);
    }

    /**
     * Draws a file in which classes appear, disappear, and get other effects and deadlines.
     *
     * @param newClass the name of a class that no file had before
     */
    static SettingsFile draw(SplittableRandom random, String newClass) {
        boolean shortDeadlines = random.nextBoolean();
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass each : RequestClass.INITIAL) {
            boolean always = each.equals(RequestClass.ORDER);
            Effect effect = always || random.nextInt(3) > 0 ? each.effect() : Effect.SINGLE_SHOT;
            double deadlineMs = shortDeadlines ? SHORT_DEADLINE_MS : each.deadlineMs();
            if (always || random.nextBoolean()) {
                classes.add(new RequestClass(each.path(), deadlineMs, effect));
            }
        }
        Effect effect = random.nextBoolean() ? Effect.FREE : Effect.SINGLE_SHOT;
        classes.add(
                random.nextInt(classes.size() + 1),
                new RequestClass(newClass, shortDeadlines ? SHORT_DEADLINE_MS : 4_000, effect));
        return new SettingsFile(List.copyOf(classes));
    }

    /** Returns the time from SIGTERM to the earliest SIGKILL that the platform allows with these classes. */
    long killAfterMs() {
        double longestMs =
                classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
        return (long) (Math.min(longestMs, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS);
    }

    /** Returns the classes as the list of a settings file. */
    String classesJson() {
        return classes.stream().map(RequestClass::json).collect(Collectors.joining(",", "[", "]"));
    }
}
