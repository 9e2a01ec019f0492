package plumpost.gearman;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.config.GearmanConfig;
import plumpost.decision.Dispatcher.JobClass;

/** The functions that are known, each with its class and its number as a kind of work. Bounded; does no I/O. */
final class FunctionTable {
    /** A function; {@code most} holds the admin's limits on jobs that wait, by priority, 0 for none. */
    static final class Function {
        final String name;
        final int kind;
        final int cls;
        final int[] most = new int[3];
        int workers;

        private Function(String name, int kind, int cls) {
            this.name = name;
            this.kind = kind;
            this.cls = cls;
        }
    }

    private final List<GearmanConfig.Rule> rules;
    private final int limit;
    private final int classes;
    private final Map<String, Function> byName = new LinkedHashMap<>();
    private final List<Function> byKind = new ArrayList<>();

    /** A table in which each class is a function of its own name. */
    FunctionTable(List<JobClass> classes, GearmanConfig config) {
        rules = config.functions();
        limit = Math.max(config.limits().functions(), classes.size());
        this.classes = classes.size();
        classes.forEach(c -> add(c.name(), byKind.size()));
    }

    private Function add(String name, int cls) {
        int kind = byKind.indexOf(null);
        kind = kind < 0 ? byKind.size() : kind;
        Function f = new Function(name, kind, cls);
        byName.put(name, f);
        if (kind == byKind.size()) {
            byKind.add(f);
        } else {
            byKind.set(kind, f);
        }
        return f;
    }

    /** The function of a name, made known if a rule gives it a class and there is room; else null. */
    Function find(String name) {
        Function f = byName.get(name);
        return f != null || full()
                ? f
                : rules.stream()
                        .filter(r -> r.match().matcher(name).matches())
                        .findFirst()
                        .map(r -> add(name, r.cls()))
                        .orElse(null);
    }

    /** The function of a kind of work. */
    Function of(int kind) {
        return byKind.get(kind);
    }

    boolean full() {
        return byName.size() >= limit;
    }

    int limit() {
        return limit;
    }

    Collection<Function> all() {
        return byName.values();
    }

    /** The function of a name if it is known already. */
    Function known(String name) {
        return byName.get(name);
    }

    /** Forgets a function that nothing uses; one that a class is named after stays. */
    boolean drop(Function f) {
        if (f.kind < classes || !byName.remove(f.name, f)) {
            return false;
        }
        byKind.set(f.kind, null);
        return true;
    }
}
