package org.teaselhook.core.lease;

/**
 * What became of the call that starts a run.
 */
public enum StartResult {
    /** The run is there. */
    STARTED,
    /** The worker has no room for it. */
    NO_ROOM,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** A run of the task with this number or a higher one was there before. */
    OLD_RUN,
    /** The lease that the call carries had run out on the worker's clock. */
    LEASE_PASSED,
    /** The worker turned it down for another reason, and did nothing. */
    REFUSED,
    /** Another worker answers at the address. */
    OTHER_WORKER,
    /** It was never sent. */
    NOT_SENT,
    /** There was no answer: it may have been carried out, or may be later. */
    UNKNOWN;

    /**
     * Returns what the entry is told when the run is given up after this result.
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
