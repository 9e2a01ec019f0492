package plumpost.gearman;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumpost.config.GearmanConfig;
import plumpost.dispatch.WorkKind;

/**
 * The known functions, each with its class and its kind of work. A class is a function of the same name; the operator's rules give
 * other functions a class. New settings may change both; a function keeps its kind of work. Bounded in number; does no I/O.
 */
final class FunctionTable {
    /** A function; {@code maxQueued} holds the admin's limits on waiting jobs for high, normal and low priority; 0: none. */
    static final class Function {
        final String name;
        final WorkKind kind;
        final int[] maxQueued = new int[3];
        int workers;
        private String className;
        private boolean hasClass = true;

        private Function(String name, WorkKind kind, String className) {
            this.name = name;
            this.kind = kind;
            this.className = className;
        }

        /** Returns the name of its class, or of the last one if the settings in force give it none. */
        String className() {
            return className;
        }

        /** Returns whether the settings in force give it a class, so that new jobs may be submitted. */
        boolean hasClass() {
            return hasClass;
        }
    }

    private final int maxFunctions;
    private List<GearmanConfig.Rule> rules = List.of();
    private Set<String> offered = Set.of();
    private final Map<String, Integer> classNumbers = new HashMap<>();
    private final Map<String, Function> byName = new LinkedHashMap<>();
    private final Map<WorkKind, Function> byKind = new HashMap<>();
    private final BitSet functionNumbers = new BitSet();

    /** Creates an empty table. */
    FunctionTable(int maxFunctions) {
        this.maxFunctions = maxFunctions;
    }

    /**
     * Applies the classes and rules of new settings: each class becomes a function, and the class of each function that is known
     * by a rule is determined anew, for new jobs.
     *
     * @param knownClasses the names of all classes ever known, in the order of their numbers
     * @param offeredClasses the names of those that the settings in force name
     * @param newRules the operator's rules
     */
    void apply(List<String> knownClasses, Set<String> offeredClasses, List<GearmanConfig.Rule> newRules) {
        rules = List.copyOf(newRules);
        offered = Set.copyOf(offeredClasses);
        classNumbers.clear();
        knownClasses.forEach(name -> classNumbers.put(name, classNumbers.size()));
        for (Function function : byName.values()) {
            if (!function.kind.isClass()) {
                String className = classOf(function.name);
                function.hasClass = className != null;
                function.className = function.hasClass ? className : function.className;
            }
        }
        for (String name : knownClasses) {
            if (!byName.containsKey(name)) {
                add(new Function(name, WorkKind.ofClass(classNumbers.get(name)), name));
            }
        }
    }

    /** Returns the name of the class of a function: the class of its own name, or that of the first matching rule, or null. */
    private String classOf(String name) {
        return offered.contains(name)
                ? name
                : rules.stream()
                        .filter(rule -> rule.match().matcher(name).matches())
                        .findFirst()
                        .map(GearmanConfig.Rule::className)
                        .orElse(null);
    }

    /** Returns the operator's rules in force. */
    List<GearmanConfig.Rule> rules() {
        return rules;
    }

    private Function add(Function function) {
        byName.put(function.name, function);
        byKind.put(function.kind, function);
        return function;
    }

    /** Finds a function by name, or adds it if a rule gives it a class and the table is not full; else returns null. */
    Function findOrAdd(String name) {
        Function function = byName.get(name);
        if (function != null || isFull()) {
            return function;
        }
        String className = classOf(name);
        if (className == null) {
            return null;
        }
        int number = functionNumbers.nextClearBit(0);
        functionNumbers.set(number);
        return add(new Function(name, WorkKind.ofFunction(number), className));
    }

    /** Returns the number of the function's class, which may not be offered any more. */
    int classNumber(Function function) {
        return classNumbers.get(function.className());
    }

    /** Returns the function with this kind of work, or null. */
    Function get(WorkKind kind) {
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

    /** Removes a function, which must not be in use. Returns false if it is unknown or is the work of a class. */
    boolean remove(Function function) {
        if (function.kind.isClass() || !byName.remove(function.name, function)) {
            return false;
        }
        byKind.remove(function.kind);
        functionNumbers.clear(function.kind.number() - WorkKind.ofFunction(0).number());
        return true;
    }
}
