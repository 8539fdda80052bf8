package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Detects stalled calls to the table service. Time during which this process itself was paused is not counted.
 */
final class StallDetector {

    private static final int PAUSE_DIVISOR = 4;

    private final long slowNanos;
    private final boolean[] busy;
    private final long[] startedNanos;
    private long lastTickNanos;
    private long lastPauseNanos;
    private long lastSuccessNanos;

    StallDetector(int slots, long slowMillis, long nowNanos) {
        this.slowNanos = TimeUnit.MILLISECONDS.toNanos(slowMillis);
        this.busy = new boolean[slots];
        this.startedNanos = new long[slots];
        this.lastTickNanos = nowNanos;
        this.lastPauseNanos = nowNanos;
        this.lastSuccessNanos = nowNanos;
    }

    void recordTick(long nowNanos) {
        if (nowNanos - lastTickNanos > slowNanos / PAUSE_DIVISOR) {
            lastPauseNanos = nowNanos;
        }
        lastTickNanos = nowNanos;
    }

    void callStarted(int slot, long nowNanos) {
        busy[slot] = true;
        startedNanos[slot] = nowNanos;
    }

    void callEnded(int slot, boolean success, long nowNanos) {
        busy[slot] = false;
        if (success) {
            lastSuccessNanos = nowNanos;
        }
    }

    boolean isBusy(int slot) {
        return busy[slot];
    }

    /** Tells whether a call has taken longer than the limit. */
    boolean isSlow(int slot, long nowNanos) {
        return nowNanos - startedNanos[slot] > slowNanos;
    }

    /** Tells whether a call has been in flight for more than the limit and no call has succeeded in that time. */
    boolean isStalled(long nowNanos) {
        return stalledNanos(nowNanos) > slowNanos;
    }

    /** Tells whether a call has been in flight for more than half the limit and no call has succeeded in that time. */
    boolean isHalfStalled(long nowNanos) {
        return stalledNanos(nowNanos) > slowNanos / 2;
    }

    private long stalledNanos(long nowNanos) {
        long longestWait = IntStream.range(0, busy.length)
                .filter(slot -> busy[slot])
                .mapToLong(slot -> nowNanos - startedNanos[slot])
                .max()
                .orElse(0);
        return Math.min(longestWait, Math.min(nowNanos - lastSuccessNanos, nowNanos - lastPauseNanos));
    }
}
