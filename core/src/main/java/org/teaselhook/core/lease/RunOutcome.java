package org.teaselhook.core.lease;

/**
 * How a run ended.
 */
public enum RunOutcome {
    /** It did its work. */
    DONE,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** The worker or its lease was lost; it has certainly ended. */
    LOST
}
