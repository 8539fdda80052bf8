package org.teaselhook.core.dispatch;

/**
 * One routing or placement decision, as it is logged.
 *
 * @param kind what was decided
 * @param reason the reason, as one word or a short phrase
 * @param submissionId the submission's id, or empty
 * @param taskIndex the task's index, or -1
 * @param number the dispatch number, or 0
 * @param agent the agent's name, or empty
 * @param zone the agent's availability zone, or empty
 * @param queued the number of tasks queued for the service at this entry
 * @param waitNanos how long the task or submission has waited, in nanoseconds
 */
public record Decision(
        DecisionKind kind,
        String reason,
        String submissionId,
        int taskIndex,
        long number,
        String agent,
        String zone,
        int queued,
        long waitNanos) {}
