package org.teaselhook.bench.claims;

import java.util.concurrent.CompletionStage;

/**
 * A group of entries that claim keys by one strategy.
 */
interface Claimer extends AutoCloseable {

    /** Number of entries. */
    int ENTRIES = 3;

    /**
     * Claims a new key at the entry that the load balancer selects.
     *
     * @param key the key
     * @param nowNanos the current monotonic time
     * @return true if the submission may start, false if it was refused
     */
    CompletionStage<Boolean> claim(String key, long nowNanos);

    /** Kills the first entry without a clean shutdown. */
    void killFirstEntry();

    @Override
    void close();
}
