package org.teaselhook.core.dispatch;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/**
 * The receiver of a {@link Dispatcher}'s effects. Called on the control thread from within the dispatcher's methods;
 * must not call back into it.
 */
public interface DispatchOutput {

    /**
     * Sends a task to an agent. The fate of an order that cannot be sent is resolved when the agent reconnects.
     *
     * @param order the order
     */
    void dispatch(DispatchOrder order);

    /**
     * Asks an agent to drop a task that has not started, and to stop a started one where possible.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    void cancel(Incarnation agent, long number);

    /**
     * Acknowledges a result or refusal, which the agent need not retain any longer.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    void ack(Incarnation agent, long number);

    /**
     * Answers a submission; called exactly once for each one.
     *
     * @param submissionId the id of the submission
     * @param outcome the outcome
     */
    void submissionAnswered(String submissionId, Outcome outcome);

    /**
     * Reports that all tasks of a submission completed after it was answered as possibly run. The default
     * implementation does nothing.
     *
     * @param submissionId the id of the submission
     * @param outcome the complete outcome
     */
    default void submissionCompletedLate(String submissionId, Outcome outcome) {}

    /**
     * Returns unused granted slots.
     *
     * @param agent the agent
     * @param slots the number of slots, at least 1
     */
    void returnGrants(Incarnation agent, int slots);

    /**
     * Requests slots from an agent between heartbeats, or withdraws an earlier request.
     *
     * @param agent the agent
     * @param slots the number of slots, as of {@link Dispatcher#wantedSlots}; 0 to withdraw
     */
    void requestSlots(Incarnation agent, int slots);

    /**
     * Records a decision for the log.
     *
     * @param decision the decision
     */
    void recordDecision(Decision decision);
}
