package org.teaselhook.core.lease;

/**
 * How a run ended.
 */
public enum RunOutcome {
    /** The run finished its work. */
    DONE,
    /** The run failed because of its own error or the worker's. */
    FAILED,
    /** The run was stopped on request. */
    STOPPED,
    /** The worker was lost or the lease expired; the run has certainly ended. */
    LOST
}
