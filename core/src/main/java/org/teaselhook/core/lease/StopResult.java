package org.teaselhook.core.lease;

/**
 * The result of a call that stops a run.
 */
public enum StopResult {
    /** The run is about to end, or will never begin. */
    STOPPED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another worker answers at the address. */
    OTHER_WORKER,
    /** There was no usable answer. */
    UNKNOWN
}
