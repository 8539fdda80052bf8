package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;

/**
 * How long claims may be acted on and how long rows are kept.
 *
 * <p>A claim may start only within the start window after its row was first sent. Rows are kept for the retention time
 * and the start window, so that a key is remembered for the whole retention time after any start under it. A margin
 * covers the differences among the processes' clocks, and a process that did not write the newest row leaves the
 * deletion to the one that did, for a while.
 *
 * @param retentionMillis how long a key is remembered at least after a start under it
 */
record RetentionPolicy(long retentionMillis) {

    private static final int START_WINDOW_DIVISOR = 10;
    private static final int CLOCK_MARGIN_DIVISOR = 10;
    private static final int OTHERS_MARGIN_DIVISOR = 20;
    private static final int TRIM_INTERVAL_DIVISOR = 120;

    static RetentionPolicy of(long retentionMillis) {
        return new RetentionPolicy(retentionMillis);
    }

    /** Tells whether a claim is young enough to start under it. */
    boolean mayStart(long firstSentNanos, long nowNanos) {
        return nowNanos - firstSentNanos <= TimeUnit.MILLISECONDS.toNanos(retentionMillis) / START_WINDOW_DIVISOR;
    }

    /** Returns the wall-clock time before which rows are deleted. */
    long cutoffMillis(long nowWallMillis, boolean wroteNewestRow) {
        long startWindow = retentionMillis / START_WINDOW_DIVISOR;
        long clockMargin = retentionMillis / CLOCK_MARGIN_DIVISOR;
        long othersMargin = wroteNewestRow ? 0 : retentionMillis / OTHERS_MARGIN_DIVISOR;
        return nowWallMillis - retentionMillis - startWindow - clockMargin - othersMargin;
    }

    /** Returns the least time between two deletions. */
    long trimIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(retentionMillis) / TRIM_INTERVAL_DIVISOR;
    }
}
