package org.teaselhook.net.log;

import java.util.concurrent.TimeUnit;

/**
 * Decides which lines are kept when more are written than the bound allows. Lines of failures go before lines of
 * routine: these get at most the given number a second, and only while the queue is less than half full. Thread-safe.
 */
public final class LogBudget {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int routineLinesPerSecond;
    private final int queueCapacity;
    private long secondStartedAt;
    private int routineInSecond;
    private long dropped;
    private boolean started;

    private LogBudget(int routineLinesPerSecond, int queueCapacity) {
        this.routineLinesPerSecond = routineLinesPerSecond;
        this.queueCapacity = queueCapacity;
    }

    /**
     * Returns a budget of which nothing is used.
     *
     * @param routineLinesPerSecond the greatest number of routine lines in a second
     * @param queueCapacity the greatest number of lines that wait to be written
     * @return the budget
     */
    public static LogBudget of(int routineLinesPerSecond, int queueCapacity) {
        return new LogBudget(routineLinesPerSecond, queueCapacity);
    }

    /**
     * Decides whether a line is kept, and counts it if it is not.
     *
     * @param nowNanos the present time
     * @param failure whether the line tells of a failure
     * @param queued the number of lines that wait to be written
     * @return true if it is kept
     */
    public synchronized boolean keeps(long nowNanos, boolean failure, int queued) {
        if (!started || nowNanos - secondStartedAt >= SECOND_NANOS) {
            started = true;
            secondStartedAt = nowNanos;
            routineInSecond = 0;
        }
        boolean kept = failure ? queued < queueCapacity : keepsRoutine(queued);
        if (!kept) {
            dropped++;
        }
        return kept;
    }

    private boolean keepsRoutine(int queued) {
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
