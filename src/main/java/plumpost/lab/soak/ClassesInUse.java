package plumpost.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes that clients of one process use: those of its settings file, each from the time on at which the process must know its
 * definition. Not thread-safe; times are milliseconds of the laboratory's clock.
 */
final class ClassesInUse {
    /** A class is in use this long after the file that defines it was announced (operators' days, "New settings"). */
    private static final double IN_USE_AFTER_MS = 1_200;

    private record Use(RequestClass requestClass, double fromMs) {}

    private final Map<String, Use> byPath = new HashMap<>();

    /** Creates the classes of a process that starts with a file. */
    ClassesInUse(SettingsFile file) {
        file.classes().forEach(each -> byPath.put(each.path(), new Use(each, Double.NEGATIVE_INFINITY)));
    }

    /** Replaces the file; classes whose definition stays remain in use, the others are not used for a while. */
    void replace(SettingsFile file, double nowMs) {
        Map<String, Use> before = Map.copyOf(byPath);
        byPath.clear();
        for (RequestClass each : file.classes()) {
            Use known = before.get(each.path());
            boolean unchanged = known != null && known.requestClass.equals(each);
            byPath.put(each.path(), unchanged ? known : new Use(each, nowMs + IN_USE_AFTER_MS));
        }
    }

    /** Returns the classes that clients may use now, in no particular order. */
    List<RequestClass> at(double nowMs) {
        List<RequestClass> usable = new ArrayList<>();
        byPath.values().stream().filter(use -> use.fromMs <= nowMs).forEach(use -> usable.add(use.requestClass));
        return usable;
    }

    /** Returns the class with a path that clients may use now, or null. */
    RequestClass find(String path, double nowMs) {
        Use use = byPath.get(path);
        return use != null && use.fromMs <= nowMs ? use.requestClass : null;
    }
}
