package org.teaselhook.core.admission;

/**
 * What an agent can say of a dispatch that an entry believes to be in progress.
 */
public enum Settlement {
    /** The task was started, and its result is running or kept. */
    STARTED,
    /** The task was not started and, from now on, never will be. */
    NOT_STARTED,
    /** The task may have been started; its record is gone. */
    FORGOTTEN
}
