package org.teaselhook.core.dispatch;

/**
 * The kinds of decisions that are logged.
 */
public enum DecisionKind {
    /** A task was sent to a worker. */
    PLACED,
    /** An idempotent request was sent to an ejected worker, to test whether it has recovered. */
    PROBED,
    /** A task was sent to a second worker because its first order is late. */
    HEDGED,
    /** A task was queued again, after a refusal or a retryable failure. */
    REQUEUED,
    /** A submission was refused on arrival. */
    REFUSED,
    /** A submission failed after it was admitted. */
    FAILED,
    /** A submission was cancelled. */
    CANCELLED,
    /** A worker was ejected and gets only probes. */
    EJECTED,
    /** An ejected worker was restored and gets work again. */
    RESTORED
}
