package org.teaselhook.core.lease;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * An entry's request to run a task.
 *
 * @param order the id of the order
 * @param run the task and the minimum number of its run
 * @param service the service whose worker may run it
 * @param spec the task specification that is passed to the worker
 * @param amounts the resources that the run uses
 * @param estimateMillis the estimated duration in milliseconds; 0 if unknown
 * @param startBy the latest time at which the run may start, on this process's clock in nanoseconds
 */
public record RunRequest(
        OrderId order,
        RunId run,
        String service,
        String spec,
        ResourceAmounts amounts,
        long estimateMillis,
        long startBy) {}
