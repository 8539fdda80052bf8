package org.teaselhook.standin.target;

/**
 * Told of every start and end of a task at a target. Called on traffic threads.
 */
public interface TaskListener {

    /**
     * Called at the instant of start, before anything else is done for the task.
     *
     * @param start the start
     */
    void started(TaskStart start);

    /**
     * Called when the target answers; never for a task that is not answered.
     *
     * @param start the start
     * @param status the answer's HTTP status
     * @param wallMillis the wall-clock time of the end, in milliseconds since the epoch
     */
    void ended(TaskStart start, int status, long wallMillis);

    /**
     * Called when the agent closes the connection of a task that is not answered. The task itself goes on.
     *
     * @param start the start
     * @param wallMillis the wall-clock time, in milliseconds since the epoch
     */
    default void abandoned(TaskStart start, long wallMillis) {
        // of interest to few listeners
    }

    /**
     * Returns a listener that does nothing.
     *
     * @return the listener
     */
    static TaskListener none() {
        return IgnoringListener.INSTANCE;
    }
}
