package plumpost.gearman;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.config.GearmanConfig;
import plumpost.decision.Dispatcher.JobClass;

/** The known functions, each with its class and its number as a kind of work. Bounded in number; does no I/O. */
final class FunctionTable {
    /** A function; {@code maxQueued} holds the admin's limits on waiting jobs for high, normal and low priority; 0: none. */
    static final class Function {
        final String name;
        final int kind;
        final int classIndex;
        final int[] maxQueued = new int[3];
        int workers;

        private Function(String name, int kind, int classIndex) {
            this.name = name;
            this.kind = kind;
            this.classIndex = classIndex;
        }
    }

    private final List<GearmanConfig.Rule> rules;
    private final int maxFunctions;
    private final int classCount;
    private final Map<String, Function> byName = new LinkedHashMap<>();
    private final List<Function> byKind = new ArrayList<>();

    /** Creates a table in which each class is a function of the same name. */
    FunctionTable(List<JobClass> classes, GearmanConfig config) {
        rules = config.functions();
        maxFunctions = Math.max(config.limits().functions(), classes.size());
        this.classCount = classes.size();
        classes.forEach(jobClass -> add(jobClass.name(), byKind.size()));
    }

    private Function add(String name, int classIndex) {
        int kind = byKind.indexOf(null);
        kind = kind < 0 ? byKind.size() : kind;
        Function function = new Function(name, kind, classIndex);
        byName.put(name, function);
        if (kind == byKind.size()) {
            byKind.add(function);
        } else {
            byKind.set(kind, function);
        }
        return function;
    }

    /** Finds a function by name, or adds it if a rule gives it a class and the table is not full; else returns null. */
    Function findOrAdd(String name) {
        Function function = byName.get(name);
        return function != null || isFull()
                ? function
                : rules.stream()
                        .filter(rule -> rule.match().matcher(name).matches())
                        .findFirst()
                        .map(rule -> add(name, rule.classIndex()))
                        .orElse(null);
    }

    /** The function with this number as a kind of work. */
    Function get(int kind) {
        return byKind.get(kind);
    }

    boolean isFull() {
        return byName.size() >= maxFunctions;
    }

    int maxFunctions() {
        return maxFunctions;
    }

    Collection<Function> functions() {
        return byName.values();
    }

    /** Finds a function by name, or returns null. */
    Function findExisting(String name) {
        return byName.get(name);
    }

    /** Removes a function, which must not be in use. Returns false if it is unknown or has the name of a class. */
    boolean remove(Function function) {
        if (function.kind < classCount || !byName.remove(function.name, function)) {
            return false;
        }
        byKind.set(function.kind, null);
        return true;
    }
}
