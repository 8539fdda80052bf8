package org.teaselhook.core.claim;

import java.util.OptionalLong;

import org.agrona.collections.Long2LongHashMap;

/**
 * The admitted tickets of two generations. Each is remembered for at least the length of one generation. Belongs to one
 * thread at a time.
 */
final class AdmittedTickets {

    private static final long MISSING = Long.MIN_VALUE;

    private final long generationMillis;
    private Long2LongHashMap current = new Long2LongHashMap(MISSING);
    private Long2LongHashMap previous = new Long2LongHashMap(MISSING);
    private long startMillis;

    AdmittedTickets(long generationMillis) {
        this.generationMillis = generationMillis;
    }

    void rotate(long nowMillis) {
        if (nowMillis - startMillis < generationMillis) {
            return;
        }
        boolean skipped = nowMillis - startMillis >= 2 * generationMillis;
        previous = skipped ? new Long2LongHashMap(MISSING) : current;
        current = new Long2LongHashMap(MISSING);
        startMillis = nowMillis;
    }

    OptionalLong digest(long nonce) {
        if (current.containsKey(nonce)) {
            return OptionalLong.of(current.get(nonce));
        }
        return previous.containsKey(nonce) ? OptionalLong.of(previous.get(nonce)) : OptionalLong.empty();
    }

    void add(long nonce, long bodyDigest) {
        current.put(nonce, storable(bodyDigest));
    }

    void remove(long nonce) {
        current.remove(nonce);
        previous.remove(nonce);
    }

    int size() {
        return current.size() + previous.size();
    }

    /** The map cannot hold the one value that marks absence. */
    static long storable(long bodyDigest) {
        return bodyDigest == MISSING ? MISSING + 1 : bodyDigest;
    }
}
