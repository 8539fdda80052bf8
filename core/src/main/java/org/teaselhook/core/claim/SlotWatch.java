package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Watches the calls to the table service for silence. Time in which this process itself stood still does not count.
 */
final class SlotWatch {

    private static final int PAUSE_DIVISOR = 4;

    private final long slowNanos;
    private final boolean[] busy;
    private final long[] startedNanos;
    private long lastTickNanos;
    private long lastPauseNanos;
    private long lastSuccessNanos;

    SlotWatch(int slots, long slowMillis, long nowNanos) {
        this.slowNanos = TimeUnit.MILLISECONDS.toNanos(slowMillis);
        this.busy = new boolean[slots];
        this.startedNanos = new long[slots];
        this.lastTickNanos = nowNanos;
        this.lastPauseNanos = nowNanos;
        this.lastSuccessNanos = nowNanos;
    }

    void ticked(long nowNanos) {
        if (nowNanos - lastTickNanos > slowNanos / PAUSE_DIVISOR) {
            lastPauseNanos = nowNanos;
        }
        lastTickNanos = nowNanos;
    }

    void started(int slot, long nowNanos) {
        busy[slot] = true;
        startedNanos[slot] = nowNanos;
    }

    void ended(int slot, boolean success, long nowNanos) {
        busy[slot] = false;
        if (success) {
            lastSuccessNanos = nowNanos;
        }
    }

    boolean isBusy(int slot) {
        return busy[slot];
    }

    /** Tells whether a call took longer than the limit. */
    boolean isSlow(int slot, long nowNanos) {
        return nowNanos - startedNanos[slot] > slowNanos;
    }

    /** Tells whether calls have waited for the limit and none succeeded meanwhile. */
    boolean isStalled(long nowNanos) {
        return silentNanos(nowNanos) > slowNanos;
    }

    /** Tells whether calls have waited for half the limit and none succeeded meanwhile. */
    boolean isHalfStalled(long nowNanos) {
        return silentNanos(nowNanos) > slowNanos / 2;
    }

    private long silentNanos(long nowNanos) {
        long longestWait = IntStream.range(0, busy.length)
                .filter(slot -> busy[slot])
                .mapToLong(slot -> nowNanos - startedNanos[slot])
                .max()
                .orElse(0);
        return Math.min(longestWait, Math.min(nowNanos - lastSuccessNanos, nowNanos - lastPauseNanos));
    }
}
