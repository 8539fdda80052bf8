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
     * @param worker the worker, which no other may take for itself
     * @param run the run
     * @param spec the text that the worker is given
     * @param leaseUntilMillis the end of the lease on the worker's clock
     * @param token the fencing token
     * @return what became of it
     */
    CompletionStage<StartResult> start(WorkerReport worker, RunId run, String spec, long leaseUntilMillis, long token);

    /**
     * Stops a run, or keeps it from ever beginning.
     *
     * @param worker the worker
     * @param run the run
     * @param token the fencing token
     * @return what became of it
     */
    CompletionStage<StopResult> stop(WorkerReport worker, RunId run, long token);

    /**
     * Lists the runs, and renews the lease of all of them.
     *
     * @param worker the worker
     * @param leaseUntilMillis the new end of the lease on the worker's clock; empty to leave it as it is
     * @param token the fencing token
     * @param acknowledged the worker may forget ends up to this number
     * @param waitMillis how long the worker may wait for an end before it answers
     * @return what became of it
     */
    CompletionStage<LookResult> look(
            WorkerReport worker, OptionalLong leaseUntilMillis, long token, long acknowledged, long waitMillis);
}
