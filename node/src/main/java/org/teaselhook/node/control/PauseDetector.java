package org.teaselhook.node.control;

import java.util.concurrent.TimeUnit;

/**
 * Detects that this process was paused. If the VM was suspended, the wall clock advanced by more than the monotonic
 * clock; if only the process was stopped, the monotonic clock advanced too far between two checks. An adjustment of
 * the wall clock is reported as a pause, which does no harm. Confined to one thread.
 */
public final class PauseDetector {

    /** The shortest pause that is reported, in ms; shorter than a lease. */
    private static final long MIN_PAUSE_MILLIS = 300;

    private long lastNanos;
    private long lastWallMillis;

    private PauseDetector(long nowNanos, long wallMillis) {
        this.lastNanos = nowNanos;
        this.lastWallMillis = wallMillis;
    }

    /**
     * Returns a detector that starts at the given times.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param wallMillis the current wall-clock time, in ms since the epoch
     * @return the detector
     */
    public static PauseDetector startingAt(long nowNanos, long wallMillis) {
        return new PauseDetector(nowNanos, wallMillis);
    }

    /**
     * Compares the clocks with those of the previous call. To be called several times per second, and before any
     * decision that a pause would invalidate.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param wallMillis the current wall-clock time, in ms since the epoch
     * @return true if this process was paused since the previous call, or the wall clock was adjusted
     */
    public boolean hasPaused(long nowNanos, long wallMillis) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos);
        long elapsedWall = wallMillis - lastWallMillis;
        lastNanos = nowNanos;
        lastWallMillis = wallMillis;
        return elapsed > MIN_PAUSE_MILLIS || Math.abs(elapsedWall - elapsed) > MIN_PAUSE_MILLIS;
    }
}
