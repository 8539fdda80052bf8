package org.teaselhook.core.job;

import org.teaselhook.core.outcome.Problem;

/**
 * The final answer to a job.
 */
public sealed interface JobResult {

    /** Every task is done. */
    record Completed() implements JobResult {}

    /**
     * A task has failed as often as its route allows.
     *
     * @param detail the reason
     */
    record Failed(String detail) implements JobResult {}

    /**
     * The job was given up after some of its tasks may have run. Its runs are being stopped, and it may be sent again.
     *
     * @param detail the reason
     */
    record GivenUp(String detail) implements JobResult {}

    /**
     * No task has run, and none will.
     *
     * @param problem the reason, and when to retry
     */
    record NotRun(Problem problem) implements JobResult {}
}
