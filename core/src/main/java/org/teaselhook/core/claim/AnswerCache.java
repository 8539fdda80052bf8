package org.teaselhook.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A cache of the answers to be returned to resubmissions, bounded in bytes and age. The oldest answers are evicted
 * first. Thread-safe.
 *
 * @param <V> the type of the answers
 */
public final class AnswerCache<V> {

    private static final int OVERHEAD_BYTES = 128;

    private final long maxBytes;
    private final long maxAgeNanos;
    private final Map<String, CachedAnswer<V>> answers = new LinkedHashMap<>();
    private long bytes;

    private AnswerCache(long maxBytes, long maxAgeNanos) {
        this.maxBytes = maxBytes;
        this.maxAgeNanos = maxAgeNanos;
    }

    private record CachedAnswer<V>(V value, long bytes, long addedNanos) {}

    // -- factories

    /**
     * Returns an empty cache.
     *
     * @param <V> the type of the answers
     * @param maxBytes the maximum total size in bytes, including an overhead of 128 bytes per answer
     * @param maxAgeNanos the maximum age of an answer
     * @return the cache
     */
    public static <V> AnswerCache<V> of(long maxBytes, long maxAgeNanos) {
        return new AnswerCache<>(maxBytes, maxAgeNanos);
    }

    // -- operations

    /**
     * Stores an answer, replacing an older one under the same key. An answer larger than the cache is not stored.
     *
     * @param key the submission's key
     * @param value the answer
     * @param valueBytes the size of the answer in bytes
     * @param nowNanos the current monotonic time
     */
    public synchronized void put(String key, V value, long valueBytes, long nowNanos) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
        remove(key);
        CachedAnswer<V> added = new CachedAnswer<>(value, valueBytes + OVERHEAD_BYTES, nowNanos);
        if (added.bytes() > maxBytes) {
            return;
        }
        answers.put(key, added);
        bytes += added.bytes();
        evict(nowNanos);
    }

    /**
     * Finds an answer.
     *
     * @param key the submission's key
     * @param nowNanos the current monotonic time
     * @return the answer, or empty if none is stored
     */
    public synchronized Optional<V> find(String key, long nowNanos) {
        evict(nowNanos);
        return Optional.ofNullable(answers.get(key)).map(CachedAnswer::value);
    }

    // -- accessors

    /**
     * Returns the number of stored answers.
     *
     * @return the number of answers
     */
    public synchronized int size() {
        return answers.size();
    }

    /**
     * Returns the total size of the stored answers.
     *
     * @return the size in bytes, including the overhead per answer
     */
    public synchronized long bytes() {
        return bytes;
    }

    // -- eviction

    private void remove(String key) {
        CachedAnswer<V> old = answers.remove(key);
        if (old != null) {
            bytes -= old.bytes();
        }
    }

    private void evict(long nowNanos) {
        Iterator<CachedAnswer<V>> oldestFirst = answers.values().iterator();
        while (oldestFirst.hasNext()) {
            CachedAnswer<V> oldest = oldestFirst.next();
            if (bytes <= maxBytes && nowNanos - oldest.addedNanos() < maxAgeNanos) {
                return;
            }
            bytes -= oldest.bytes();
            oldestFirst.remove();
        }
    }
}
