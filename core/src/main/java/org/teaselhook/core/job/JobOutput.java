package org.teaselhook.core.job;

import org.teaselhook.core.id.Incarnation;

/**
 * Where the dispatcher of jobs sends its decisions.
 */
public interface JobOutput {

    /**
     * Sends an order.
     *
     * @param run the order
     */
    void order(PlacedRun run);

    /**
     * Withdraws an order, whose end or refusal is still awaited.
     *
     * @param agent the agent
     * @param number the order's number
     */
    void stop(Incarnation agent, long number);

    /**
     * Answers a job, once.
     *
     * @param nowNanos the present time
     * @param job the job
     * @param result the answer
     */
    void answered(long nowNanos, Job job, JobResult result);

    /**
     * Tells of a decision, for the log.
     *
     * @param decision the decision
     */
    void decided(JobDecision decision);

    /**
     * Tells of a decision, for the log.
     *
     * @param kind the kind
     * @param job the job's id
     * @param task the task's name; empty if the decision is about the whole job
     * @param inputs what decided, as pairs of key and value
     */
    default void decided(JobDecision.Kind kind, String job, String task, Object... inputs) {
        decided(new JobDecision(kind, job, task, inputs));
    }
}
