package org.teaselhook.core.dispatch;

/**
 * The result status of a task that reached its target.
 */
public enum TaskStatus {
    /** The target answered with success. */
    COMPLETE,
    /** The target answered with an error: the task ran. */
    TARGET_ERROR,
    /** The connection to the target broke or timed out: the task may have run. */
    UNKNOWN
}
