package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

/**
 * The time-outs that end a run before its job can begin again elsewhere. A caller resends a job no sooner than 1,300 ms
 * after its connection broke. By then the agent has noticed after {@link #ENTRY_TIMEOUT_MILLIS} that the entry is
 * unreachable, and if the agent has failed too, the worker's lease of {@link #LEASE_MILLIS} has expired.
 */
public final class LeaseTimes {

    /** The time-out for contact with an entry, in ms: 1,300 ms less the lease, its clock drift and a stop call. */
    public static final long ENTRY_TIMEOUT_MILLIS = 500;

    /** The duration of a lease, in ms; workers accept at most 1,000. */
    public static final long LEASE_MILLIS = 680;

    /** The minimum rate of a worker's clock, as it may be 2% slow. */
    static final double MIN_CLOCK_RATE = 0.98;

    /** How long a worker may delay the answer to a poll, in ms; the loss of a poll delays ends by as much. */
    public static final long POLL_WAIT_MILLIS = 60;

    /** The same while nothing runs, in ms: longer, as no end can be delayed, but the lease is still renewed in time. */
    public static final long IDLE_POLL_WAIT_MILLIS = 150;

    /** The longest lease that a worker accepts, in ms on its own clock. */
    private static final long MAX_LEASE_MILLIS = 1_000;

    /** How long a worker may take to stop a run, in ms on its own clock. */
    private static final long STOP_MILLIS = 50;

    /** How long lists must lack a begun run after its confirmed stop until its end counts as forgotten, in ms. */
    private static final long FORGOTTEN_END_MILLIS = 1_000;

    /** How much later than the event itself a list may show that a run has begun or ended, in ms. */
    private static final long LIST_DELAY_MILLIS = 25;

    private LeaseTimes() {}

    /** Returns how long a worker may delay the answer to a poll that renews its lease, in ms. */
    static long pollWaitMillis(boolean idle) {
        return idle ? IDLE_POLL_WAIT_MILLIS : POLL_WAIT_MILLIS;
    }

    /**
     * Returns the time after which a lease has certainly expired.
     *
     * @param renewedAt when the call that renewed it was sent, in nanoseconds
     * @return the time, in nanoseconds
     */
    public static long latestExpiry(long renewedAt) {
        // The worker's clock has whole milliseconds, so that its lease may end one later.
        return renewedAt + nanosOnSlowestClock(LEASE_MILLIS + 1);
    }

    /**
     * Returns the time after which a lease has certainly expired whose end may have been meant for another clock.
     *
     * @param renewedAt when it was last renewed at the latest, in nanoseconds
     * @return the time, in nanoseconds
     */
    static long latestExpiryOfLongest(long renewedAt) {
        return renewedAt + nanosOnSlowestClock(MAX_LEASE_MILLIS + 1);
    }

    /** Returns how long the given time on a worker's clock takes at most, in nanoseconds. */
    private static long nanosOnSlowestClock(long millis) {
        return (long) Math.ceil(TimeUnit.MILLISECONDS.toNanos(millis) / MIN_CLOCK_RATE);
    }

    /**
     * Returns when lists show whether a run exists whose start or stop a worker has confirmed.
     *
     * @param confirmedAt when the confirmation arrived, in nanoseconds
     * @return the time, in nanoseconds
     */
    static long listedBy(long confirmedAt) {
        return confirmedAt + TimeUnit.MILLISECONDS.toNanos(LIST_DELAY_MILLIS);
    }

    /**
     * Returns when a run has ended whose stop a worker has confirmed, and lists show its end if it had begun.
     *
     * @param confirmedAt when the confirmation arrived, in nanoseconds
     * @return the time, in nanoseconds
     */
    static long endedBy(long confirmedAt) {
        return listedBy(confirmedAt) + nanosOnSlowestClock(STOP_MILLIS);
    }

    /**
     * Returns when a worker counts as having forgotten the end of a run whose stop it has confirmed. The end of a run
     * that has begun is listed until it is acknowledged, so that lists that lack both say little: a stalled worker may
     * answer them before it carries out the stop.
     *
     * @param confirmedAt when the confirmation arrived, in nanoseconds
     * @return the time, in nanoseconds
     */
    static long forgottenBy(long confirmedAt) {
        return confirmedAt + TimeUnit.MILLISECONDS.toNanos(FORGOTTEN_END_MILLIS);
    }
}
