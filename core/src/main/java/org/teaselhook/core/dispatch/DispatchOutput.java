package org.teaselhook.core.dispatch;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/**
 * The effects of a {@link Dispatcher}. Called on the control thread from within the dispatcher's methods; must not call
 * back into it.
 */
public interface DispatchOutput {

    /**
     * Sends a task to an agent. An order that cannot be sent is settled when the agent connects again.
     *
     * @param order the order
     */
    void dispatch(DispatchOrder order);

    /**
     * Asks an agent to drop a task that has not started, and to stop one that has where it can.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    void cancel(Incarnation agent, long number);

    /**
     * Tells an agent that its result or refusal was taken and need not be kept.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    void ack(Incarnation agent, long number);

    /**
     * Answers a submission; called exactly once for each one.
     *
     * @param submissionId the submission
     * @param outcome the outcome
     */
    void answered(String submissionId, Outcome outcome);

    /**
     * Tells that all tasks of a submission are complete after all, which was answered as possibly run before. Ignored
     * unless overridden.
     *
     * @param submissionId the submission
     * @param outcome the complete outcome
     */
    default void completedLate(String submissionId, Outcome outcome) {}

    /**
     * Gives unused granted slots back.
     *
     * @param agent the agent
     * @param slots the number of slots, at least 1
     */
    void returnGrants(Incarnation agent, int slots);

    /**
     * Tells an agent at once how many more slots the entry could use, between heartbeats.
     *
     * @param agent the agent
     * @param slots the number of slots, as {@link Dispatcher#wantedSlots} says
     */
    void want(Incarnation agent, int slots);

    /**
     * Records a decision for the log.
     *
     * @param decision the decision
     */
    void decided(Decision decision);
}
