package org.teaselhook.core.claim;

import java.util.Objects;

/**
 * The fixed division of keys into shards. All entries must use the same division.
 */
public final class Shards {

    /** The number of shards. */
    public static final int COUNT = 8;

    private Shards() {}

    /**
     * Returns the shard of a key.
     *
     * @param key the key
     * @return a number from 0 to {@link #COUNT} - 1
     */
    public static int of(String key) {
        Objects.requireNonNull(key, "key is null");
        long hash = Mixer.OFFSET;
        for (int i = 0; i < key.length(); i++) {
            hash = Mixer.mix(hash ^ key.charAt(i));
        }
        return (int) Long.remainderUnsigned(hash, COUNT);
    }
}
