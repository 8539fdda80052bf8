package org.teaselhook.core.job;

import java.util.OptionalLong;

import org.teaselhook.core.id.Incarnation;

/**
 * Receiver of the orders, answers and decisions of a {@link JobDispatcher}.
 */
public interface JobOutput {

    /**
     * Sends an order to its agent.
     *
     * @param run the order
     */
    void order(PlacedRun run);

    /**
     * Asks an agent to stop an order. The end or refusal of the order is still expected; until it is known, the call is
     * repeated whenever the agent connects.
     *
     * @param agent the agent's incarnation
     * @param number the order's number
     */
    void stop(Incarnation agent, long number);

    /**
     * Answers a job. Called at most once for each submission.
     *
     * @param nowNanos the present time
     * @param job the job
     * @param result the answer
     */
    void answer(long nowNanos, Job job, JobResult result);

    /**
     * Tells when a caller of a job was last known to be connected.
     *
     * @param jobId the job's id
     * @return a time after which its connection was open, in nanoseconds, or empty if none of the callers is connected
     */
    OptionalLong callerSeenAt(String jobId);

    /**
     * Has the connections of all callers read, unless that is in progress. Afterwards, {@link #callerSeenAt} tells of
     * those that are open, and {@link JobDispatcher#callersRead} is called.
     */
    void readCallers();

    /**
     * Reports a decision, for the log.
     *
     * @param decision the decision
     */
    void reportDecision(JobDecision decision);

    /**
     * Reports a decision, for the log.
     *
     * @param kind the kind
     * @param job the job's id
     * @param task the task's name; empty if the decision is about the whole job
     * @param inputs the inputs of the decision, as pairs of key and value
     */
    default void reportDecision(JobDecision.Kind kind, String job, String task, Object... inputs) {
        reportDecision(new JobDecision(kind, job, task, inputs));
    }
}
