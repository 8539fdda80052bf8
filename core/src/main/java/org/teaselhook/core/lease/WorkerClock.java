package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

/**
 * A worker's clock, as of the answer in which it was last told. Reads low, so that leases end early, never late.
 *
 * @param millis the clock's reading in that answer
 * @param heardAt when the answer arrived, in nanoseconds
 */
record WorkerClock(long millis, long heardAt) {

    long leaseUntil(long nowNanos) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - heardAt);
        return millis + (long) (elapsed / LeaseTimes.CLOCK_ERROR) + LeaseTimes.LEASE_MILLIS;
    }
}
