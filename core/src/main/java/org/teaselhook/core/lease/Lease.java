package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The lease of everything that runs on one life of a worker: whether it may be renewed, and when it has surely run out.
 */
final class Lease {

    /** Looks in a row without an answer after which a worker takes no work: one alone may have been lost on its way. */
    private static final int MISSES_TO_CLOSE = 2;

    private Optional<WorkerClock> clock = Optional.empty();
    private boolean sealed;
    private int misses = MISSES_TO_CLOSE;
    private long renewedAt;

    // -- accessors

    /** Whether the worker answers, and ignores every call of an earlier agent or life. */
    boolean isHeld() {
        return sealed && misses < MISSES_TO_CLOSE;
    }

    /** Whether whatever ran under it has ended, though the worker does not answer. */
    boolean isSurelyOver(long nowNanos) {
        return nowNanos - LeaseTimes.certainEnd(renewedAt) > 0;
    }

    /** Whether an answer was given before the newest one that has arrived. */
    boolean isOlder(long clockMillis) {
        return clock.filter(known -> clockMillis < known.millis()).isPresent();
    }

    // -- updates

    /** Returns the new end of the lease for a call that starts a run; the clock has been read. */
    long renewForStart(long nowNanos) {
        renewedAt = nowNanos;
        return clock.orElseThrow().leaseUntil(nowNanos);
    }

    /** Returns the new end of the lease for a look; empty after a miss, as calls may take effect late. */
    OptionalLong renewForLook(long nowNanos) {
        return sealed && misses == 0 ? OptionalLong.of(renewForStart(nowNanos)) : OptionalLong.empty();
    }

    void answered(long nowNanos, long clockMillis) {
        if (!isOlder(clockMillis)) {
            clock = Optional.of(new WorkerClock(clockMillis, nowNanos));
        }
        sealed = true;
        misses = 0;
    }

    /** Notes that the worker did not answer, and tells whether it takes no work from now on. */
    boolean missed() {
        misses++;
        return misses == MISSES_TO_CLOSE;
    }

    void unseal() {
        sealed = false;
    }

    /** Begins anew with another life of the worker. */
    void reset() {
        clock = Optional.empty();
        sealed = false;
        misses = MISSES_TO_CLOSE;
    }
}
