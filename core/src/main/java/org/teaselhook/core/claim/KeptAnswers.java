package org.teaselhook.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Answers kept for resubmissions, bounded in bytes and time; of too many, the oldest are dropped. Safe for use by many
 * threads.
 *
 * @param <V> the type of the answers
 */
public final class KeptAnswers<V> {

    private static final int OVERHEAD_BYTES = 128;

    private final long maxBytes;
    private final long keepNanos;
    private final Map<String, Kept<V>> kept = new LinkedHashMap<>();
    private long bytes;

    private KeptAnswers(long maxBytes, long keepNanos) {
        this.maxBytes = maxBytes;
        this.keepNanos = keepNanos;
    }

    private record Kept<V>(V value, long bytes, long atNanos) {}

    // -- factories

    /**
     * Returns an empty store.
     *
     * @param <V> the type of the answers
     * @param maxBytes the bound on all answers together, with 128 bytes more counted for each
     * @param keepNanos how long an answer is kept at most
     * @return the store
     */
    public static <V> KeptAnswers<V> of(long maxBytes, long keepNanos) {
        return new KeptAnswers<>(maxBytes, keepNanos);
    }

    // -- operations

    /**
     * Keeps an answer, in place of an older one under the same key. An answer larger than the bound is not kept.
     *
     * @param key the submission's key
     * @param value the answer
     * @param valueBytes the size of the answer
     * @param nowNanos the present time
     */
    public synchronized void put(String key, V value, long valueBytes, long nowNanos) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
        drop(key);
        Kept<V> added = new Kept<>(value, valueBytes + OVERHEAD_BYTES, nowNanos);
        if (added.bytes() > maxBytes) {
            return;
        }
        kept.put(key, added);
        bytes += added.bytes();
        evict(nowNanos);
    }

    /**
     * Finds an answer.
     *
     * @param key the submission's key
     * @param nowNanos the present time
     * @return the answer, or empty if none is kept
     */
    public synchronized Optional<V> find(String key, long nowNanos) {
        evict(nowNanos);
        return Optional.ofNullable(kept.get(key)).map(Kept::value);
    }

    // -- accessors

    /**
     * Returns the number of answers.
     *
     * @return the number of answers
     */
    public synchronized int size() {
        return kept.size();
    }

    /**
     * Returns the size of all answers.
     *
     * @return the size in bytes, with the overhead counted for each
     */
    public synchronized long bytes() {
        return bytes;
    }

    // -- eviction

    private void drop(String key) {
        Kept<V> old = kept.remove(key);
        if (old != null) {
            bytes -= old.bytes();
        }
    }

    private void evict(long nowNanos) {
        Iterator<Kept<V>> oldestFirst = kept.values().iterator();
        while (oldestFirst.hasNext()) {
            Kept<V> oldest = oldestFirst.next();
            if (bytes <= maxBytes && nowNanos - oldest.atNanos() < keepNanos) {
                return;
            }
            bytes -= oldest.bytes();
            oldestFirst.remove();
        }
    }
}
