package org.teaselhook.core.job;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;

/**
 * An order to run a task.
 *
 * @param number the order's number, unique within this entry
 * @param agent the incarnation of the agent that is to run it
 * @param task the task's name
 * @param run the least number that the run may have, from 1
 * @param service the service
 * @param spec the specification that is passed to the worker
 * @param amounts the resources that the run uses
 * @param estimateMillis the expected run time; 0 if unknown
 * @param startBy the latest useful start
 */
public record PlacedRun(
        long number,
        Incarnation agent,
        String task,
        int run,
        String service,
        String spec,
        ResourceAmounts amounts,
        long estimateMillis,
        long startBy) {}
