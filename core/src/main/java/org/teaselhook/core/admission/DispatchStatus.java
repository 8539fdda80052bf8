package org.teaselhook.core.admission;

/**
 * The status that an agent reports for a dispatch that an entry believes to be in progress.
 */
public enum DispatchStatus {
    /** The task was started; it is running, or its result is retained. */
    STARTED,
    /** The task was not started and will not be started under this number. */
    NOT_STARTED,
    /** The task may have been started; its history was discarded. */
    FORGOTTEN
}
