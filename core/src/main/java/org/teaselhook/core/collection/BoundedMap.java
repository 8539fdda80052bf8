package org.teaselhook.core.collection;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A map of bounded size that evicts its oldest key when it is full. Confined to one thread.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class BoundedMap<K, V> {

    private final Map<K, V> entries;

    private BoundedMap(int capacity) {
        entries = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > capacity;
            }
        };
    }

    /**
     * Returns an empty map.
     *
     * @param capacity the maximum number of keys, at least 1
     * @param <K> the type of the keys
     * @param <V> the type of the values
     * @return a new map
     */
    public static <K, V> BoundedMap<K, V> of(int capacity) {
        return new BoundedMap<>(capacity);
    }

    /**
     * Puts a value. A key that is present already keeps its place in the eviction order.
     *
     * @param key the key
     * @param value the value
     */
    public void put(K key, V value) {
        entries.put(key, value);
    }

    /**
     * Finds the value of a key.
     *
     * @param key the key
     * @return the value, or empty if the key is absent or was evicted
     */
    public Optional<V> find(K key) {
        return Optional.ofNullable(entries.get(key));
    }
}
