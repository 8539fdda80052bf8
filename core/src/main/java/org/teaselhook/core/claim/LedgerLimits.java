package org.teaselhook.core.claim;

/**
 * The bounds of a ledger.
 *
 * @param retentionMillis how long a key is remembered at least after a start under it
 * @param maxBatchClaims the greatest number of claims in one row
 * @param maxQueuedClaims the greatest number of claims that wait per shard
 * @param maxRetainedClaims the greatest number of claims within the retention time per shard
 * @param appendIntervalMillis the least time between two appends to one shard while the process appends more often than
 *     its rate
 * @param appendsPerSecond the rate of appends to all shards up to which a shard need not wait for its interval
 * @param slowCallMillis the breaker opens when calls wait and none has succeeded for this time
 * @param probeIntervalMillis the time between probes while the breaker is open
 */
public record LedgerLimits(
        long retentionMillis,
        int maxBatchClaims,
        int maxQueuedClaims,
        int maxRetainedClaims,
        long appendIntervalMillis,
        int appendsPerSecond,
        long slowCallMillis,
        long probeIntervalMillis) {

    private static final LedgerLimits STANDARD = new LedgerLimits(600_000, 256, 2_048, 100_000, 30, 80, 400, 500);

    /** Checks the bounds. */
    public LedgerLimits {
        if (retentionMillis < 1 || maxBatchClaims < 1 || maxQueuedClaims < 1 || maxRetainedClaims < 1) {
            throw new IllegalArgumentException("a bound is not positive");
        }
    }

    /**
     * Returns the usual bounds: claims are remembered for 10 minutes.
     *
     * @return the bounds
     */
    public static LedgerLimits standard() {
        return STANDARD;
    }

    /**
     * Sets the retention time.
     *
     * @param millis the new retention time
     * @return new limits
     */
    public LedgerLimits withRetentionMillis(long millis) {
        return new LedgerLimits(
                millis,
                maxBatchClaims,
                maxQueuedClaims,
                maxRetainedClaims,
                appendIntervalMillis,
                appendsPerSecond,
                slowCallMillis,
                probeIntervalMillis);
    }
}
