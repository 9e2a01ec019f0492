package plumpost.dispatch;

import plumpost.decision.Dispatcher.Settings;

/**
 * The kind of work of a job: that of a class, or a function that a front knows besides the classes. Classes and functions are
 * numbered independently, and both may be added while the process runs, so each has a range of its own.
 *
 * @param number the number by which the module and the workers' entries name the kind
 */
public record WorkKind(int number) {
    private static final int FIRST_FUNCTION = Settings.MAX_CLASSES;

    /** Returns the kind of work of a class, given the class's number in {@link JobClassRegistry}. */
    public static WorkKind ofClass(int classNumber) {
        if (classNumber < 0 || classNumber >= FIRST_FUNCTION) {
            throw new IllegalArgumentException("class number " + classNumber);
        }
        return new WorkKind(classNumber);
    }

    /** Returns the kind of work of a function that is not a class, given its number among those functions. */
    public static WorkKind ofFunction(int functionNumber) {
        if (functionNumber < 0) {
            throw new IllegalArgumentException("function number " + functionNumber);
        }
        return new WorkKind(FIRST_FUNCTION + functionNumber);
    }

    /** Returns whether this is the work of a class, which route nodes run for any front. */
    public boolean isClass() {
        return number < FIRST_FUNCTION;
    }
}
