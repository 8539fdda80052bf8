package org.teaselhook.core.claim;

/**
 * The limits of a ledger.
 *
 * @param retentionMillis the minimum time for which a key is retained after a submission started under it
 * @param maxBatchClaims the maximum number of claims in one row
 * @param maxQueuedClaims the maximum number of pending claims per shard
 * @param maxRetainedClaims the maximum number of retained and pending claims per shard
 * @param appendIntervalMillis the minimum time between two appends to one shard while the process exceeds its append
 *     rate
 * @param appendsPerSecond the append rate over all shards up to which a shard need not wait for its interval
 * @param slowCallMillis the circuit breaker opens when calls are in flight and none has succeeded for this time
 * @param probeIntervalMillis the time between probes while the circuit breaker is open
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

    /** Checks the limits. */
    public LedgerLimits {
        if (retentionMillis < 1 || maxBatchClaims < 1 || maxQueuedClaims < 1 || maxRetainedClaims < 1) {
            throw new IllegalArgumentException("a limit is not positive");
        }
    }

    /**
     * Returns the default limits: keys are retained for 10 minutes.
     *
     * @return the limits
     */
    public static LedgerLimits standard() {
        return STANDARD;
    }

    /**
     * Returns these limits with another retention time.
     *
     * @param millis the new retention time in milliseconds
     * @return the new limits
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
