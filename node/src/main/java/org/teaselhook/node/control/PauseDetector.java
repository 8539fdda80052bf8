package org.teaselhook.node.control;

import java.util.concurrent.TimeUnit;

/**
 * Notices that this process stood still. Where the VM was suspended, the monotonic clock leaves that time out and
 * the time of day does not; where only the process was, the monotonic clock has gone on since the last look. A time of
 * day that was set looks like the first, which does no harm. Confined to one thread.
 */
public final class PauseDetector {

    /** A pause this long matters, in ms: less than a lease. */
    private static final long PAUSE_MILLIS = 300;

    private long lastNanos;
    private long lastWallMillis;

    private PauseDetector(long nowNanos, long wallMillis) {
        this.lastNanos = nowNanos;
        this.lastWallMillis = wallMillis;
    }

    /**
     * Returns a detector that has seen no pause.
     *
     * @param nowNanos the present time on the monotonic clock
     * @param wallMillis the present time of day
     * @return the detector
     */
    public static PauseDetector startingAt(long nowNanos, long wallMillis) {
        return new PauseDetector(nowNanos, wallMillis);
    }

    /**
     * Looks at the clocks. To be called several times a second, and before anything that a pause would falsify.
     *
     * @param nowNanos the present time on the monotonic clock
     * @param wallMillis the present time of day
     * @return true if this process stood still since the last look, or the time of day was set
     */
    public boolean hasPaused(long nowNanos, long wallMillis) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos);
        long elapsedWall = wallMillis - lastWallMillis;
        lastNanos = nowNanos;
        lastWallMillis = wallMillis;
        return elapsed > PAUSE_MILLIS || Math.abs(elapsedWall - elapsed) > PAUSE_MILLIS;
    }
}
