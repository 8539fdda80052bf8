package org.teaselhook.core.lease;

/**
 * The result of a call that starts a run.
 */
public enum StartResult {
    /** The worker has accepted the run. */
    STARTED,
    /** The worker's free capacity does not suffice. */
    NO_ROOM,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker has seen this run number or a higher one of the task before. */
    OLD_RUN,
    /** The lease of the call had expired on the worker's clock. */
    LEASE_PASSED,
    /** The worker refused the call for another reason and did nothing. */
    REFUSED,
    /** Another worker answers at the address. */
    OTHER_WORKER,
    /** The call was never sent. */
    NOT_SENT,
    /** There was no usable answer: the call may have taken effect, or may do so later. */
    UNKNOWN;

    /**
     * Returns the refusal reported to the entry if the run is not retried after this result.
     *
     * @return the reason
     */
    public RunRefusal refusal() {
        return switch (this) {
            case NO_ROOM -> RunRefusal.NO_ROOM;
            case OTHER_WORKER -> RunRefusal.NO_WORKER;
            case UNKNOWN -> RunRefusal.UNANSWERED;
            default -> RunRefusal.WORKER_REFUSED;
        };
    }
}
