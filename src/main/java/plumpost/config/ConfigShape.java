package plumpost.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the keys of a configuration with those of the previous one. A file read at SIGHUP that lacks a key of the
 * previous file is treated as broken, not as a request for the default.
 */
public final class ConfigShape {
    private ConfigShape() {}

    /**
     * Returns the path, such as {@code settings.ceilings.maxAttempts}, of the first key that {@code before} has and
     * {@code after} lacks, or null if none is missing. In a list of objects, each object needs the keys that all had before.
     */
    public static String firstMissingKey(Map<String, Object> before, Map<String, Object> after) {
        return firstMissingKey("", before, after);
    }

    private static String firstMissingKey(String prefix, Map<String, Object> before, Map<String, Object> after) {
        for (Map.Entry<String, Object> entry : before.entrySet()) {
            String path = prefix.isEmpty() ? entry.getKey() : prefix + '.' + entry.getKey();
            if (!after.containsKey(entry.getKey())) {
                return path;
            }
            String missingKey = missingInside(path, entry.getValue(), after.get(entry.getKey()));
            if (missingKey != null) {
                return missingKey;
            }
        }
        return null;
    }

    @SuppressWarnings("unchecked")
    private static String missingInside(String path, Object before, Object after) {
        if (before instanceof Map<?, ?> beforeMap && after instanceof Map<?, ?> afterMap) {
            return firstMissingKey(path, (Map<String, Object>) beforeMap, (Map<String, Object>) afterMap);
        }
        if (before instanceof List<?> beforeMap && after instanceof List<?> afterMap) {
            Set<String> common = commonKeys(beforeMap);
            for (int i = 0; common != null && !common.isEmpty() && i < afterMap.size(); i++) {
                if (!(afterMap.get(i) instanceof Map<?, ?> object)) {
                    return path + '[' + i + ']';
                }
                for (String key : common) {
                    if (!object.containsKey(key)) {
                        return path + '[' + i + "]." + key;
                    }
                }
            }
        }
        return null;
    }

    /** Returns the keys that all objects of a list have; null if the list is empty or contains anything but objects. */
    private static Set<String> commonKeys(List<?> items) {
        Set<String> keys = null;
        for (Object item : items) {
            if (!(item instanceof Map<?, ?> object)) {
                return null;
            }
            Set<String> objectKeys = new HashSet<>();
            object.keySet().forEach(k -> objectKeys.add((String) k));
            if (keys == null) {
                keys = objectKeys;
            } else {
                keys.retainAll(objectKeys);
            }
        }
        return keys;
    }
}
