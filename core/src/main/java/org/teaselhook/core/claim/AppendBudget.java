package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket over the appends of all shards. While it holds a token, a shard may append before its interval has
 * passed; appends after the interval are always allowed and use up tokens too.
 */
final class AppendBudget {

    private static final double BURST_APPENDS = 4;

    private final int appendsPerSecond;
    private double tokens;
    private long refilledNanos;

    AppendBudget(int appendsPerSecond, long nowNanos) {
        this.appendsPerSecond = appendsPerSecond;
        this.refilledNanos = nowNanos;
    }

    boolean hasSpare(long nowNanos) {
        refill(nowNanos);
        return tokens >= 1;
    }

    void spend(long nowNanos) {
        refill(nowNanos);
        tokens = Math.max(tokens - 1, -BURST_APPENDS);
    }

    private void refill(long nowNanos) {
        double seconds = (double) (nowNanos - refilledNanos) / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(tokens + seconds * appendsPerSecond, BURST_APPENDS);
        refilledNanos = nowNanos;
    }
}
