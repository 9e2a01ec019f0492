package plumpost.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/** A set of keys with a maximum size, which forgets the oldest key first. */
final class BoundedKeySet {
    private final int maxSize;
    private final Set<String> keys = new LinkedHashSet<>();

    BoundedKeySet(int maxSize) {
        this.maxSize = maxSize;
    }

    void add(String key) {
        if (keys.add(key) && keys.size() > maxSize) {
            keys.remove(keys.iterator().next());
        }
    }

    boolean contains(String key) {
        return keys.contains(key);
    }
}
