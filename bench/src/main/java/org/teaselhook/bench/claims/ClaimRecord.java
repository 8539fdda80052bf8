package org.teaselhook.bench.claims;

import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The response times of one phase of a run, recorded separately for won and refused claims.
 */
final class ClaimRecord {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram won = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final Histogram refused = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

    void add(boolean isWon, long durationNanos) {
        (isWon ? won : refused).recordValue(TimeUnit.NANOSECONDS.toMicros(durationNanos));
    }

    String summary() {
        return "won=" + won.getTotalCount() + times(won) + " refused=" + refused.getTotalCount() + times(refused);
    }

    private static String times(Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return "";
        }
        return String.format(
                "(p50=%.2fms p99=%.2fms max=%.2fms)",
                millis(histogram.getValueAtPercentile(50)),
                millis(histogram.getValueAtPercentile(99)),
                millis(histogram.getMaxValue()));
    }

    private static double millis(long micros) {
        return micros / 1_000.0;
    }
}
