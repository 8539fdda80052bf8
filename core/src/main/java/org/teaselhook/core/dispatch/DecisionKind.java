package org.teaselhook.core.dispatch;

/**
 * The kinds of decisions that are logged.
 */
public enum DecisionKind {
    /** A task was sent to a worker. */
    PLACED,
    /** An idempotent request was sent to a worker that gets no other work, to see whether it has recovered. */
    PROBED,
    /** A task was sent to a second worker while the first one is slow or silent. */
    HEDGED,
    /** A task waits again, after a refusal or a failure that allows it. */
    REQUEUED,
    /** A submission was refused on arrival. */
    REFUSED,
    /** A submission was given up. */
    FAILED,
    /** A submission was cancelled. */
    CANCELLED,
    /** A worker gets no more than probes. */
    EJECTED,
    /** A worker gets work again. */
    RESTORED
}
