package org.teaselhook.core.lease;

import org.teaselhook.core.amount.Amounts;

/**
 * What an entry asks to be run.
 *
 * @param order the order
 * @param run the task and the least number of its run
 * @param service the service whose worker may run it
 * @param spec the text that the worker is given
 * @param amounts what the run uses
 * @param estimateMillis how long it probably takes; 0 if nobody knows
 * @param startBy the last instant at which it may start, on this process's clock in nanoseconds
 */
public record RunRequest(
        OrderId order, RunId run, String service, String spec, Amounts amounts, long estimateMillis, long startBy) {}
