package org.teaselhook.core.dispatch;

/**
 * How a task that reached its target ended.
 */
public enum TaskStatus {
    /** The target answered with success. */
    COMPLETE,
    /** The target answered with an error: the task ran. */
    TARGET_ERROR,
    /** The connection to the target broke or timed out: the task may have run. */
    UNKNOWN
}
