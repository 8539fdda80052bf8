package org.teaselhook.core.dispatch;

import org.teaselhook.core.id.Incarnation;

/**
 * An order to start one task on one agent. Times are on the entry's monotonic clock, in nanoseconds.
 *
 * @param number the dispatch number, used once per incarnation of the entry
 * @param agent the incarnation of the agent
 * @param submissionId the submission's id
 * @param taskIndex the task's index in the submission
 * @param service the service's name
 * @param customer the customer's name
 * @param task the task
 * @param startBy the latest start time
 * @param finishBy the submission's deadline
 * @param configVersion the configuration version in force at the entry
 * @param granted true if the order uses a granted slot; false if the agent may refuse it for lack of one
 */
public record DispatchOrder(
        long number,
        Incarnation agent,
        String submissionId,
        int taskIndex,
        String service,
        String customer,
        TaskRequest task,
        long startBy,
        long finishBy,
        long configVersion,
        boolean granted) {

    /**
     * Limits the latest start time.
     *
     * @param instant a time on the same clock
     * @return an order whose latest start time is the earlier of its own and {@code instant}
     */
    public DispatchOrder startingBy(long instant) {
        if (startBy - instant <= 0) {
            return this;
        }
        return new DispatchOrder(
                number,
                agent,
                submissionId,
                taskIndex,
                service,
                customer,
                task,
                instant,
                finishBy,
                configVersion,
                granted);
    }
}
