package org.teaselhook.core.collection;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A map that forgets the key that was put first when it is full. Confined to one thread.
 *
 * @param <K> the keys
 * @param <V> the values
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
     * @param capacity the greatest number of keys, at least 1
     * @param <K> the keys
     * @param <V> the values
     * @return a new map
     */
    public static <K, V> BoundedMap<K, V> of(int capacity) {
        return new BoundedMap<>(capacity);
    }

    /**
     * Puts a value in. A key that is there keeps its age.
     *
     * @param key the key
     * @param value its value
     */
    public void put(K key, V value) {
        entries.put(key, value);
    }

    /**
     * Finds a value.
     *
     * @param key the key
     * @return its value, or empty if it was not put or is forgotten
     */
    public Optional<V> find(K key) {
        return Optional.ofNullable(entries.get(key));
    }
}
