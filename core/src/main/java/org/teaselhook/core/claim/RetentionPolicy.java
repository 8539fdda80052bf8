package org.teaselhook.core.claim;

import java.util.concurrent.TimeUnit;

/**
 * Determines how long a submission may start under a claim and how long rows are retained.
 *
 * <p>A submission may start only within the start window after the row of its claim was first sent. Rows are retained
 * for the retention time plus the start window, so that a key is retained for the whole retention time after any start
 * under it. A clock margin covers clock skew between the processes. A further margin applies to processes that did not
 * write the newest row, so that normally the writer of the newest row trims the log.
 *
 * @param retentionMillis the minimum time for which a key is retained after a submission started under it
 */
record RetentionPolicy(long retentionMillis) {

    private static final int START_WINDOW_DIVISOR = 10;
    private static final int CLOCK_MARGIN_DIVISOR = 10;
    private static final int NON_WRITER_MARGIN_DIVISOR = 20;
    private static final int TRIM_INTERVAL_DIVISOR = 120;

    static RetentionPolicy of(long retentionMillis) {
        return new RetentionPolicy(retentionMillis);
    }

    /** Tells whether a submission may still start under a claim. */
    boolean mayStart(long firstSentNanos, long nowNanos) {
        return nowNanos - firstSentNanos <= TimeUnit.MILLISECONDS.toNanos(retentionMillis) / START_WINDOW_DIVISOR;
    }

    /** Returns the cut-off time: rows whose age is counted from before it may be trimmed. */
    long cutoffMillis(long nowWallMillis, boolean wroteNewestRow) {
        long startWindow = retentionMillis / START_WINDOW_DIVISOR;
        long clockMargin = retentionMillis / CLOCK_MARGIN_DIVISOR;
        long nonWriterMargin = wroteNewestRow ? 0 : retentionMillis / NON_WRITER_MARGIN_DIVISOR;
        return nowWallMillis - retentionMillis - startWindow - clockMargin - nonWriterMargin;
    }

    /** Returns the minimum time between two trims. */
    long trimIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(retentionMillis) / TRIM_INTERVAL_DIVISOR;
    }
}
