package org.teaselhook.core.claim;

import java.util.Objects;

/**
 * The fixed partitioning of keys into shards. All entries must use the same partitioning.
 */
public final class Shards {

    /** The number of shards. */
    public static final int COUNT = 8;

    private Shards() {}

    /**
     * Returns the shard of a key.
     *
     * @param key the key
     * @return the shard, from 0 to {@link #COUNT} - 1
     */
    public static int of(String key) {
        Objects.requireNonNull(key, "key is null");
        long hash = SplitMix64.GOLDEN_GAMMA;
        for (int i = 0; i < key.length(); i++) {
            hash = SplitMix64.mix(hash ^ key.charAt(i));
        }
        return (int) Long.remainderUnsigned(hash, COUNT);
    }
}
