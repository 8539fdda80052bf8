package org.teaselhook.core.job;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.id.Incarnation;

/**
 * An order to run a task.
 *
 * @param number the order's number, used once by this entry
 * @param agent the run of the agent that is to run it
 * @param task the task's name
 * @param run the least number of the run
 * @param service the service
 * @param spec the text that the worker is given
 * @param amounts what the run uses
 * @param estimateMillis how long it probably takes; 0 if nobody knows
 * @param startBy the last useful start
 */
public record PlacedRun(
        long number,
        Incarnation agent,
        String task,
        int run,
        String service,
        String spec,
        Amounts amounts,
        long estimateMillis,
        long startBy) {}
