package org.teaselhook.core.lease;

/**
 * What became of the call that stops a run.
 */
public enum StopResult {
    /** The run ends within moments, or will never begin. */
    STOPPED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another worker answers at the address. */
    OTHER_WORKER,
    /** There was no answer. */
    UNKNOWN
}
