package org.teaselhook.core.lease;

/**
 * Identifies one run of a task on a worker.
 *
 * @param task the name of the task
 * @param number the run number, which increases with each run of the task
 */
public record RunId(String task, int number) {

    /**
     * Returns the id of the next run of the same task.
     *
     * @return an id with the next higher number
     */
    public RunId next() {
        return new RunId(task, number + 1);
    }

    // -- equality: written out, as the methods that records generate are linked anew at each start of a process

    @Override
    public boolean equals(Object other) {
        return other instanceof RunId that && number == that.number && task.equals(that.task);
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + number;
    }
}
