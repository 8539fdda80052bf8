package org.teaselhook.core.estimate;

import java.util.Arrays;

/**
 * The distribution of the run times of one kind, as observed lately. Until a few tasks were observed, and again when
 * none was for a while, the declared run time stands in. Fixed size, about 1 KiB; adding and reading take O(1) but for
 * one pass over the buckets every few samples.
 */
public final class RunTimeEstimate {

    private static final int LEARNED_SAMPLES = 5;
    private static final int EXTREME_SAMPLES = 100;
    private static final int RECENT = 16;
    private static final int REFRESH_SAMPLES = 8;
    private static final double HALVE_AT_WEIGHT = 512;
    private static final double SHIFT_RATIO = 3;
    private static final long FRESH_NANOS = 10_000_000_000L;
    private static final double FIRST_BUCKET_NANOS = 100_000;
    private static final double LOG_GROWTH = Math.log(1.1);
    private static final int BUCKETS = 180;

    private final long declaredNanos;
    private final float[] buckets = new float[BUCKETS];
    private final long[] recent = new long[RECENT];
    private double weight;
    private long samples;
    private long lastSampleAt;
    private long typical;
    private long mean;
    private long high;
    private long extreme;

    private RunTimeEstimate(long declaredNanos) {
        this.declaredNanos = Math.max(1, declaredNanos);
    }

    // -- factories

    /**
     * Returns an estimate that knows only the declared run time.
     *
     * @param nanos the declared run time, in nanoseconds
     * @return the estimate
     */
    public static RunTimeEstimate declared(long nanos) {
        return new RunTimeEstimate(nanos);
    }

    // -- accessors

    /**
     * Tells whether enough was observed lately to refuse work on the ground of it.
     *
     * @param nowNanos the present time
     * @return true if the estimate rests on observation
     */
    public boolean isLearned(long nowNanos) {
        return samples >= LEARNED_SAMPLES && nowNanos - lastSampleAt < FRESH_NANOS;
    }

    /**
     * Returns the median.
     *
     * @return the run time, in nanoseconds
     */
    public long typical() {
        return samples < LEARNED_SAMPLES ? declaredNanos : typical;
    }

    /**
     * Returns the mean.
     *
     * @return the run time, in nanoseconds
     */
    public long mean() {
        return samples < LEARNED_SAMPLES ? declaredNanos : mean;
    }

    /**
     * Returns the run time that nine tasks of ten do not exceed.
     *
     * @return the run time, in nanoseconds
     */
    public long high() {
        return samples < LEARNED_SAMPLES ? declaredNanos : high;
    }

    /**
     * Returns the run time that 99 tasks of 100 do not exceed. Few samples say little of it, so it is then at least
     * twice {@link #high()}.
     *
     * @return the run time, in nanoseconds
     */
    public long extreme() {
        return samples < LEARNED_SAMPLES ? declaredNanos : extreme;
    }

    // -- updates

    /**
     * Adds an observed run time.
     *
     * @param nowNanos the present time
     * @param runNanos the run time, in nanoseconds
     */
    public void add(long nowNanos, long runNanos) {
        recent[(int) (samples % RECENT)] = runNanos;
        samples++;
        lastSampleAt = nowNanos;
        count(runNanos);
        if (samples <= RECENT || samples % REFRESH_SAMPLES == 0) {
            forgetOldRegime();
            refresh();
        }
    }

    private void count(long runNanos) {
        buckets[bucketOf(runNanos)]++;
        weight++;
        if (weight >= HALVE_AT_WEIGHT) {
            for (int i = 0; i < BUCKETS; i++) {
                buckets[i] /= 2;
            }
            weight /= 2;
        }
    }

    /** Starts over from the recent samples when their median is far from that of the whole. */
    private void forgetOldRegime() {
        if (samples < RECENT) {
            return;
        }
        long[] sorted = recent.clone();
        Arrays.sort(sorted);
        double ratio = (double) sorted[RECENT / 2] / Math.max(1, quantile(0.5));
        if (ratio < SHIFT_RATIO && ratio > 1 / SHIFT_RATIO) {
            return;
        }
        Arrays.fill(buckets, 0);
        weight = 0;
        for (long runNanos : sorted) {
            count(runNanos);
        }
    }

    private void refresh() {
        typical = quantile(0.5);
        high = quantile(0.9);
        extreme = samples < EXTREME_SAMPLES ? Math.max(quantile(0.99), 2 * high) : quantile(0.99);
        mean = average();
    }

    private long average() {
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += buckets[i] * middleOf(i);
        }
        return (long) (sum / Math.max(1, weight));
    }

    private static double middleOf(int bucket) {
        return FIRST_BUCKET_NANOS * Math.exp((bucket + 0.5) * LOG_GROWTH);
    }

    private long quantile(double share) {
        double rest = share * weight;
        int bucket = 0;
        while (bucket < BUCKETS - 1 && rest > buckets[bucket]) {
            rest -= buckets[bucket];
            bucket++;
        }
        return (long) middleOf(bucket);
    }

    private static int bucketOf(long runNanos) {
        double steps = Math.log(Math.max(1, runNanos) / FIRST_BUCKET_NANOS) / LOG_GROWTH;
        return (int) Math.max(0, Math.min(BUCKETS - 1, steps));
    }
}
