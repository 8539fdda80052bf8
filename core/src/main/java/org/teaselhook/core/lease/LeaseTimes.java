package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

/**
 * The chain of times that ends a run before its job can begin again elsewhere. A caller sends a job again no sooner
 * than 1,300 ms after its connection broke. By then {@link #ENTRY_SILENCE_MILLIS} have passed for the agent to notice
 * that the entry is gone, and if the agent is gone too, the worker's lease of {@link #LEASE_MILLIS} has run out.
 */
public final class LeaseTimes {

    /** How long a run is kept without word from its entry, in ms: 1,300 ms less a lease, its clock error and a stop. */
    public static final long ENTRY_SILENCE_MILLIS = 500;

    /** How long a lease lasts, in ms; the worker allows at most 1,000. */
    public static final long LEASE_MILLIS = 680;

    /** How much slower than this process's clock the worker's may be, as a ratio. */
    public static final double CLOCK_ERROR = 1.02;

    /** How long a worker may wait for an end before it answers a look, in ms: what a lost look delays ends by. */
    public static final long LOOK_WAIT_MILLIS = 60;

    /** The same while nothing runs, in ms: then there is no end to wait for, and the lease is renewed in time. */
    public static final long IDLE_LOOK_WAIT_MILLIS = 150;

    private LeaseTimes() {}

    /**
     * Returns when a lease has certainly run out.
     *
     * @param renewedAt when the call that renewed it was sent, in nanoseconds
     * @return the instant, in nanoseconds
     */
    public static long certainEnd(long renewedAt) {
        return renewedAt + (long) (TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS) * CLOCK_ERROR);
    }
}
