package org.teaselhook.core.job;

import java.util.concurrent.TimeUnit;

/**
 * Moving average of the capacity that arriving jobs ask for, whether they are accepted or not. Late jobs are served
 * only as far as it leaves capacity: while a burst lasts, they would delay jobs that can still be on time.
 */
final class DemandAverage {

    /** Time constant, in ns: longer than a late job waits, so that a short burst leaves room for its own late jobs. */
    private static final double AVERAGING_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The shortest time over which the demand is averaged, in ns: the first few jobs are no measure. */
    private static final double MIN_OBSERVED_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final long startedAt;
    private double weightedCpuMillis;
    private long updatedAt;

    DemandAverage(long startedAt) {
        this.startedAt = startedAt;
        this.updatedAt = startedAt;
    }

    /** Returns the average demand, in thousandths of a core; right after a start, that of the time since then. */
    double cpuMillis(long nowNanos) {
        double observedNanos = Math.max(MIN_OBSERVED_NANOS, nowNanos - startedAt);
        return decayed(nowNanos) / (1 - Math.exp(-observedNanos / AVERAGING_NANOS));
    }

    /** Adds the work of an arriving job, in core-milliseconds. */
    void add(long nowNanos, double workCoreMillis) {
        double workCpuMillisNanos = workCoreMillis * 1_000 * TimeUnit.MILLISECONDS.toNanos(1);
        weightedCpuMillis = decayed(nowNanos) + workCpuMillisNanos / AVERAGING_NANOS;
        updatedAt = nowNanos;
    }

    private double decayed(long nowNanos) {
        return weightedCpuMillis * Math.exp(-(nowNanos - updatedAt) / AVERAGING_NANOS);
    }
}
