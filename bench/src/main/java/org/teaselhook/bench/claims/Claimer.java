package org.teaselhook.bench.claims;

import java.util.concurrent.CompletionStage;

/**
 * Several entries that claim keys in one way.
 */
interface Claimer extends AutoCloseable {

    /** The number of entries. */
    int ENTRIES = 3;

    /**
     * Claims a new key at the entry that the balancer picked.
     *
     * @param key the key
     * @param nowNanos the present time
     * @return true if the submission may start, false if it was refused
     */
    CompletionStage<Boolean> claim(String key, long nowNanos);

    /** Ends the first entry without notice. */
    void killFirst();

    @Override
    void close();
}
