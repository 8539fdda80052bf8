package org.teaselhook.net.log;

import java.util.concurrent.TimeUnit;

/**
 * Decides which log lines are kept under load. Lines that report a failure have priority over routine lines, which are
 * limited to a number per second and kept only while the queue is less than half full. Thread-safe.
 */
public final class LogRateLimiter {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int routineLinesPerSecond;
    private final int queueCapacity;
    private long secondStartedAt;
    private int routineInSecond;
    private long dropped;
    private boolean started;

    private LogRateLimiter(int routineLinesPerSecond, int queueCapacity) {
        this.routineLinesPerSecond = routineLinesPerSecond;
        this.queueCapacity = queueCapacity;
    }

    /**
     * Returns a limiter that has not counted any line.
     *
     * @param routineLinesPerSecond the maximum number of routine lines per second
     * @param queueCapacity the maximum number of queued lines
     * @return the limiter
     */
    public static LogRateLimiter of(int routineLinesPerSecond, int queueCapacity) {
        return new LogRateLimiter(routineLinesPerSecond, queueCapacity);
    }

    /**
     * Decides whether a line is kept, and counts it as dropped if it is not.
     *
     * @param nowNanos the current time
     * @param failure whether the line reports a failure
     * @param queued the number of queued lines
     * @return true if it is kept
     */
    public synchronized boolean tryAcquire(long nowNanos, boolean failure, int queued) {
        if (!started || nowNanos - secondStartedAt >= SECOND_NANOS) {
            started = true;
            secondStartedAt = nowNanos;
            routineInSecond = 0;
        }
        boolean kept = failure ? queued < queueCapacity : tryAcquireRoutine(queued);
        if (!kept) {
            dropped++;
        }
        return kept;
    }

    private boolean tryAcquireRoutine(int queued) {
        routineInSecond++;
        return routineInSecond <= routineLinesPerSecond && queued < queueCapacity / 2;
    }

    /**
     * Returns the number of lines dropped since the last call.
     *
     * @return the number, from 0
     */
    public synchronized long takeDropped() {
        long result = dropped;
        dropped = 0;
        return result;
    }
}
