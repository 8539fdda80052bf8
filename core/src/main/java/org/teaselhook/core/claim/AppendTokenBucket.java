package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket shared by the appends of all shards. While it holds a token, a shard may append before its append
 * interval has passed. Appends after the interval are always allowed; they take a token too.
 */
final class AppendTokenBucket {

    private static final double BURST_APPENDS = 4;

    private final int appendsPerSecond;
    private double tokens;
    private long refilledNanos;

    AppendTokenBucket(int appendsPerSecond, long nowNanos) {
        this.appendsPerSecond = appendsPerSecond;
        this.refilledNanos = nowNanos;
    }

    boolean hasToken(long nowNanos) {
        refill(nowNanos);
        return tokens >= 1;
    }

    void takeToken(long nowNanos) {
        refill(nowNanos);
        tokens = Math.max(tokens - 1, -BURST_APPENDS);
    }

    private void refill(long nowNanos) {
        double seconds = (double) (nowNanos - refilledNanos) / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(tokens + seconds * appendsPerSecond, BURST_APPENDS);
        refilledNanos = nowNanos;
    }
}
