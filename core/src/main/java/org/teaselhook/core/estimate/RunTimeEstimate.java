package org.teaselhook.core.estimate;

import java.util.Arrays;

/**
 * A histogram of recently observed run times of one kind of task. The declared run time is used until a few tasks have
 * been observed; {@link #isLearned} also tells when the observations are out of date. Fixed size, about 1 KiB; adding
 * and reading take O(1), except for one pass over the buckets every few samples.
 */
public final class RunTimeEstimate {

    private static final int MIN_SAMPLES = 5;
    private static final int MIN_SAMPLES_FOR_P99 = 100;
    private static final int RECENT_SAMPLES = 16;
    private static final int REFRESH_INTERVAL_SAMPLES = 8;
    private static final double HALVE_AT_WEIGHT = 512;
    private static final double SHIFT_RATIO = 3;
    private static final long MAX_AGE_NANOS = 10_000_000_000L;
    private static final double FIRST_BUCKET_NANOS = 100_000;
    private static final double LOG_GROWTH = Math.log(1.1);
    private static final int BUCKETS = 180;

    private final long declaredNanos;
    private final float[] buckets = new float[BUCKETS];
    private final long[] recent = new long[RECENT_SAMPLES];
    private double weight;
    private long samples;
    private long lastSampleAt;
    private long median;
    private long mean;
    private long p90;
    private long p99;

    private RunTimeEstimate(long declaredNanos) {
        this.declaredNanos = Math.max(1, declaredNanos);
    }

    // -- factories

    /**
     * Returns an estimate without observations.
     *
     * @param nanos the declared run time, in nanoseconds
     * @return the estimate
     */
    public static RunTimeEstimate declared(long nanos) {
        return new RunTimeEstimate(nanos);
    }

    // -- accessors

    /**
     * Tells whether there are enough recent observations to refuse work because of them.
     *
     * @param nowNanos the present time
     * @return true if the estimate is based on recent observations
     */
    public boolean isLearned(long nowNanos) {
        return samples >= MIN_SAMPLES && nowNanos - lastSampleAt < MAX_AGE_NANOS;
    }

    /**
     * Returns the median of the run times.
     *
     * @return the run time, in nanoseconds
     */
    public long median() {
        return samples < MIN_SAMPLES ? declaredNanos : median;
    }

    /**
     * Returns the mean of the run times.
     *
     * @return the run time, in nanoseconds
     */
    public long mean() {
        return samples < MIN_SAMPLES ? declaredNanos : mean;
    }

    /**
     * Returns the 90th percentile of the run times.
     *
     * @return the run time, in nanoseconds
     */
    public long p90() {
        return samples < MIN_SAMPLES ? declaredNanos : p90;
    }

    /**
     * Returns the 99th percentile of the run times. With few samples it is unreliable, so it is then at least twice
     * {@link #p90()}.
     *
     * @return the run time, in nanoseconds
     */
    public long p99() {
        return samples < MIN_SAMPLES ? declaredNanos : p99;
    }

    // -- updates

    /**
     * Adds an observed run time.
     *
     * @param nowNanos the present time
     * @param runNanos the run time, in nanoseconds
     */
    public void add(long nowNanos, long runNanos) {
        recent[(int) (samples % RECENT_SAMPLES)] = runNanos;
        samples++;
        lastSampleAt = nowNanos;
        count(runNanos);
        if (samples <= RECENT_SAMPLES || samples % REFRESH_INTERVAL_SAMPLES == 0) {
            restartAfterShift();
            updateStatistics();
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

    /** Rebuilds the histogram from the most recent samples if their median differs much from the overall one. */
    private void restartAfterShift() {
        if (samples < RECENT_SAMPLES) {
            return;
        }
        long[] sorted = recent.clone();
        Arrays.sort(sorted);
        double ratio = (double) sorted[RECENT_SAMPLES / 2] / Math.max(1, quantile(0.5));
        if (ratio < SHIFT_RATIO && ratio > 1 / SHIFT_RATIO) {
            return;
        }
        Arrays.fill(buckets, 0);
        weight = 0;
        for (long runNanos : sorted) {
            count(runNanos);
        }
    }

    private void updateStatistics() {
        median = quantile(0.5);
        p90 = quantile(0.9);
        p99 = samples < MIN_SAMPLES_FOR_P99 ? Math.max(quantile(0.99), 2 * p90) : quantile(0.99);
        mean = computeMean();
    }

    private long computeMean() {
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += buckets[i] * midpointOf(i);
        }
        return (long) (sum / Math.max(1, weight));
    }

    private static double midpointOf(int bucket) {
        return FIRST_BUCKET_NANOS * Math.exp((bucket + 0.5) * LOG_GROWTH);
    }

    private long quantile(double fraction) {
        double remaining = fraction * weight;
        int bucket = 0;
        while (bucket < BUCKETS - 1 && remaining > buckets[bucket]) {
            remaining -= buckets[bucket];
            bucket++;
        }
        return (long) midpointOf(bucket);
    }

    private static int bucketOf(long runNanos) {
        double steps = Math.log(Math.max(1, runNanos) / FIRST_BUCKET_NANOS) / LOG_GROWTH;
        return (int) Math.max(0, Math.min(BUCKETS - 1, steps));
    }
}
