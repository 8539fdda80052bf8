package org.teaselhook.standin.target;

/**
 * Receives the start and end of every task at a target. Called on I/O threads.
 */
public interface TaskListener {

    /**
     * Called when a task starts, before anything else is done for it.
     *
     * @param start the start
     */
    void started(TaskStart start);

    /**
     * Called when the target answers; never for a task that is not answered.
     *
     * @param start the start
     * @param status the HTTP status of the answer
     * @param wallMillis the wall-clock time of the end, in milliseconds since the epoch
     */
    void ended(TaskStart start, int status, long wallMillis);

    /**
     * Called when the agent closes the connection of an unanswered task. The task itself continues.
     *
     * @param start the start
     * @param wallMillis the wall-clock time, in milliseconds since the epoch
     */
    default void abandoned(TaskStart start, long wallMillis) {
        // few listeners need this event
    }

    /**
     * Returns a listener that does nothing.
     *
     * @return the listener
     */
    static TaskListener none() {
        return NoOpTaskListener.INSTANCE;
    }
}
