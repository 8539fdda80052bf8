package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The lease that covers all runs on one incarnation of a worker: whether it may be renewed, and when it has certainly
 * expired.
 */
final class Lease {

    /** Consecutive unanswered polls that make a worker unavailable: a single one may have been lost in transit. */
    private static final int MISSED_POLLS_LIMIT = 2;

    private Optional<WorkerClock> clock = Optional.empty();

    /** Whether the worker has accepted the fencing token, so that it ignores calls with an older one. */
    private boolean sealed;

    /** When the fencing token was last raised for this incarnation of the worker; empty if it never was. */
    private OptionalLong unsealedAt = OptionalLong.empty();

    /** Whether late calls to an earlier incarnation, whose clock was another, may have renewed the lease. */
    private boolean renewableByLateCalls;

    /** When such calls may have renewed it last; empty if there were none. */
    private OptionalLong lateRenewalAt = OptionalLong.empty();

    private int missedPolls = MISSED_POLLS_LIMIT;

    /** When it was last renewed, for this or an earlier incarnation of the worker; empty if none is known. */
    private OptionalLong renewedAt = OptionalLong.empty();

    // -- accessors

    /** Whether the worker answers and has accepted the fencing token. */
    boolean isHeld() {
        return sealed && missedPolls < MISSED_POLLS_LIMIT;
    }

    /** Whether polls may renew the lease: not after a missed one, as calls may take effect late. */
    boolean isRenewable() {
        return sealed && missedPolls == 0;
    }

    /** Whether all runs under the lease have ended, even if the worker does not answer. */
    boolean hasCertainlyExpired(long nowNanos) {
        boolean lateRenewalExpired =
                lateRenewalAt.isEmpty() || nowNanos - LeaseTimes.latestExpiryOfLongest(lateRenewalAt.getAsLong()) > 0;
        return lateRenewalExpired
                && renewedAt.isPresent()
                && nowNanos - LeaseTimes.latestExpiry(renewedAt.getAsLong()) > 0;
    }

    /** Returns the time since the last renewal, in nanoseconds; -1 if there was none. */
    long nanosSinceRenewal(long nowNanos) {
        return renewedAt.isEmpty() ? -1 : nowNanos - renewedAt.getAsLong();
    }

    /** Whether the worker sent an answer before the newest one that has arrived. */
    boolean isOutdated(long clockMillis) {
        return clock.filter(known -> clockMillis < known.millis()).isPresent();
    }

    // -- updates

    /**
     * Returns the end of the lease for a start call. The worker's clock must be known.
     *
     * @param renewalNanos the time from which the lease lasts for its full duration; an earlier one than that of the
     *     last renewal changes nothing
     */
    long renewForStart(long renewalNanos) {
        renewedAt = OptionalLong.of(Math.max(renewalNanos, renewedAt.orElse(renewalNanos)));
        return clock.orElseThrow().leaseUntil(renewedAt.getAsLong());
    }

    /** Returns the end of the lease for a poll in the same way; empty if the poll must not renew the lease. */
    OptionalLong renewForPoll(long renewalNanos) {
        boolean isLater = renewalNanos - renewedAt.orElse(renewalNanos) >= 0;
        return isRenewable() && isLater ? OptionalLong.of(renewForStart(renewalNanos)) : OptionalLong.empty();
    }

    /** Records the answer to a poll that was requested at the given time. */
    void answered(long nowNanos, long requestedAt, long clockMillis) {
        if (!isOutdated(clockMillis)) {
            clock = Optional.of(new WorkerClock(clockMillis, nowNanos));
        }
        if (renewableByLateCalls) {
            lateRenewalAt = OptionalLong.of(nowNanos);
            renewableByLateCalls = false;
        }
        // A poll from before the token was raised carried one that the worker refuses since.
        sealed = sealed || unsealedAt.isEmpty() || requestedAt - unsealedAt.getAsLong() > 0;
        missedPolls = 0;
    }

    /** Records a missed poll, and tells whether it has made the worker unavailable. */
    boolean pollMissed() {
        missedPolls++;
        return missedPolls == MISSED_POLLS_LIMIT;
    }

    /** Records that the worker has refused the fencing token, which is raised. */
    void unseal(long nowNanos) {
        sealed = false;
        unsealedAt = OptionalLong.of(nowNanos);
    }

    /** Resets the state for another incarnation of the worker. An earlier agent may have renewed its lease so far. */
    void reset(long nowNanos) {
        renewableByLateCalls = renewedAt.isPresent();
        lateRenewalAt = OptionalLong.empty();
        renewedAt = OptionalLong.of(renewedAt.orElse(nowNanos));
        clock = Optional.empty();
        sealed = false;
        unsealedAt = OptionalLong.empty();
        missedPolls = MISSED_POLLS_LIMIT;
    }
}
