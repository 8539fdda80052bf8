package org.teaselhook.core.lease;

/**
 * One run of a task, as the worker knows it.
 *
 * @param task the task's name
 * @param number the run's number, which rises with each run of the task
 */
public record RunId(String task, int number) {

    /**
     * Returns the next run of the same task.
     *
     * @return a run with a higher number
     */
    public RunId next() {
        return new RunId(task, number + 1);
    }
}
