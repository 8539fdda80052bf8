package org.teaselhook.node.lease;

import org.teaselhook.core.lease.WorkerReport;

/**
 * Takes what the worker says of itself. Called on traffic threads.
 */
public interface WorkerRegistry {

    /**
     * Takes a worker's report.
     *
     * @param report the report
     */
    void reported(WorkerReport report);

    /**
     * Takes a worker's word that it ends.
     *
     * @param workerId its id
     */
    void left(String workerId);
}
