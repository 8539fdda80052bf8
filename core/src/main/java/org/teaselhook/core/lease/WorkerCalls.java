package org.teaselhook.core.lease;

import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/**
 * Calls to a worker. No method blocks, and no stage completes exceptionally.
 */
public interface WorkerCalls {

    /**
     * Starts a run.
     *
     * @param worker the worker; any other one at its address must refuse the call
     * @param run the id of the run
     * @param spec the task specification that is passed to the worker
     * @param leaseUntilMillis the end of the lease on the worker's clock, in milliseconds
     * @param token the fencing token
     * @param sendBy the latest time at which the call may be sent, as of {@link System#nanoTime}
     * @return the result of the call
     */
    CompletionStage<StartResult> start(
            WorkerReport worker, RunId run, String spec, long leaseUntilMillis, long token, long sendBy);

    /**
     * Stops a run, or prevents it from beginning later.
     *
     * @param worker the worker
     * @param run the id of the run
     * @param token the fencing token
     * @return the result of the call
     */
    CompletionStage<StopResult> stop(WorkerReport worker, RunId run, long token);

    /**
     * Renews the lease of all runs and lists them. The worker may delay its answer until a run ends (long polling).
     *
     * @param worker the worker
     * @param leaseUntilMillis the new end of the lease on the worker's clock, in milliseconds; empty to not renew it
     * @param token the fencing token
     * @param acknowledged the number of the last end that was processed; the worker may discard it and those before
     * @param waitMillis how long the worker may wait for an end before it answers, in milliseconds
     * @return the result of the call
     */
    CompletionStage<PollResult> poll(
            WorkerReport worker, OptionalLong leaseUntilMillis, long token, long acknowledged, long waitMillis);
}
