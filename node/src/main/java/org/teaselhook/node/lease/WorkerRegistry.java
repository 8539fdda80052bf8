package org.teaselhook.node.lease;

import org.teaselhook.core.lease.WorkerReport;

/**
 * Receives the reports of the worker. Called on I/O threads.
 */
public interface WorkerRegistry {

    /**
     * Processes a report of a worker.
     *
     * @param report the report
     */
    void workerReported(WorkerReport report);

    /**
     * Processes the notice of a worker that it is shutting down.
     *
     * @param workerId the worker's id
     */
    void workerLeft(String workerId);
}
