package plumpost.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the shape of a configuration with that of the one before: a file read at SIGHUP that lacks a key that the
 * first file had is taken for a broken one, not for a wish to fall back on a default.
 */
public final class Shape {
    private Shape() {}

    /** The first key, as a path such as {@code settings.ceilings.maxAttempts}, that {@code before} has and
     *  {@code after} lacks; null where none is missing. In a list of objects, each one needs the keys that all had. */
    public static String missing(Map<String, Object> before, Map<String, Object> after) {
        return missing("", before, after);
    }

    private static String missing(String at, Map<String, Object> before, Map<String, Object> after) {
        for (Map.Entry<String, Object> e : before.entrySet()) {
            String path = at.isEmpty() ? e.getKey() : at + '.' + e.getKey();
            if (!after.containsKey(e.getKey())) {
                return path;
            }
            String inner = inner(path, e.getValue(), after.get(e.getKey()));
            if (inner != null) {
                return inner;
            }
        }
        return null;
    }

    @SuppressWarnings("unchecked")
    private static String inner(String path, Object before, Object after) {
        if (before instanceof Map<?, ?> b && after instanceof Map<?, ?> a) {
            return missing(path, (Map<String, Object>) b, (Map<String, Object>) a);
        }
        if (before instanceof List<?> b && after instanceof List<?> a) {
            Set<String> common = common(b);
            for (int i = 0; common != null && !common.isEmpty() && i < a.size(); i++) {
                if (!(a.get(i) instanceof Map<?, ?> m)) {
                    return path + '[' + i + ']';
                }
                for (String key : common) {
                    if (!m.containsKey(key)) {
                        return path + '[' + i + "]." + key;
                    }
                }
            }
        }
        return null;
    }

    /** The keys that every object of a list has; null where it holds anything but objects, or nothing. */
    private static Set<String> common(List<?> items) {
        Set<String> keys = null;
        for (Object o : items) {
            if (!(o instanceof Map<?, ?> m)) {
                return null;
            }
            Set<String> these = new HashSet<>();
            m.keySet().forEach(k -> these.add((String) k));
            if (keys == null) {
                keys = these;
            } else {
                keys.retainAll(these);
            }
        }
        return keys;
    }
}
