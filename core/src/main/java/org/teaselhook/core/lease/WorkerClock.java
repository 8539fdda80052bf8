package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

/**
 * A worker's clock, estimated from its reading in an answer. The estimate is low, so that leases end early, never late.
 *
 * @param millis the reading in the answer, in milliseconds
 * @param receivedAt when the answer arrived, in nanoseconds
 */
record WorkerClock(long millis, long receivedAt) {

    /** Returns the end of a lease from the given time on, which may be before the reading. */
    long leaseUntil(long renewalNanos) {
        long elapsed = Math.floorDiv(renewalNanos - receivedAt, TimeUnit.MILLISECONDS.toNanos(1));
        long elapsedThere = elapsed < 0 ? elapsed : (long) (elapsed * LeaseTimes.MIN_CLOCK_RATE);
        return millis + elapsedThere + LeaseTimes.LEASE_MILLIS;
    }
}
