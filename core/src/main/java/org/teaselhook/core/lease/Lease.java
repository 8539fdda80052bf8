package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The lease of everything that runs on one life of a worker: whether it may be renewed, and when it has surely run out.
 */
final class Lease {

    private Optional<WorkerClock> clock = Optional.empty();
    private boolean sealed;
    private boolean answering;
    private long renewedAt;

    // -- accessors

    /** Whether the worker answers, and ignores every call of an earlier agent or life. */
    boolean isHeld() {
        return sealed && answering;
    }

    /** Whether whatever ran under it has ended, though the worker does not answer. */
    boolean isSurelyOver(long nowNanos) {
        return nowNanos - LeaseTimes.certainEnd(renewedAt) > 0;
    }

    // -- updates

    /** Returns the new end of the lease for a call that starts a run; the clock has been read. */
    long renewForStart(long nowNanos) {
        renewedAt = nowNanos;
        return clock.orElseThrow().leaseUntil(nowNanos);
    }

    /** Returns the new end of the lease for a look; empty while it must not be renewed. */
    OptionalLong renewForLook(long nowNanos) {
        return isHeld() ? OptionalLong.of(renewForStart(nowNanos)) : OptionalLong.empty();
    }

    void answered(long nowNanos, long clockMillis) {
        clock = Optional.of(new WorkerClock(clockMillis, nowNanos));
        sealed = true;
        answering = true;
    }

    /** Notes that the worker did not answer, and tells whether it had before. */
    boolean missed() {
        boolean before = answering;
        answering = false;
        return before;
    }

    void unseal() {
        sealed = false;
    }

    /** Begins anew with another life of the worker. */
    void reset() {
        clock = Optional.empty();
        sealed = false;
        answering = false;
    }
}
