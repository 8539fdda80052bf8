package org.teaselhook.core.lease;

/**
 * Logs changes of the state of a worker as its agent knows it.
 */
public interface LeaseLog {

    /**
     * Logs a report that arrived after a newer one.
     *
     * @param report the late report
     */
    void lateReport(WorkerReport report);

    /**
     * Logs a report of another incarnation than the known one, which has not been seen to end.
     *
     * @param report the report
     */
    void otherIncarnationReported(WorkerReport report);

    /**
     * Logs that a worker's draining flag or capacity changed.
     *
     * @param report the newest report
     */
    void workerChanged(WorkerReport report);

    /**
     * Logs that a worker has announced its end.
     *
     * @param workerId the id of the worker
     */
    void workerLeft(String workerId);

    /**
     * Logs a new worker, or a new incarnation of one.
     *
     * @param report the first report
     * @param lostRuns the number of runs lost with the previous incarnation
     */
    void workerStarted(WorkerReport report, int lostRuns);

    /**
     * Logs the result of a start call.
     *
     * @param order the id of the order
     * @param run the id of the run
     * @param result the result
     */
    void startAnswered(OrderId order, RunId run, StartResult result);

    /**
     * Logs that the worker has seen a higher fencing token.
     *
     * @param newToken the token used from now on
     */
    void fenced(long newToken);

    /**
     * Logs that the worker has become available or unavailable for new runs.
     *
     * @param available whether it is available
     * @param orphans the number of runs on the worker that this agent did not start
     */
    void availabilityChanged(boolean available, int orphans);

    /**
     * Logs a run on the worker that this agent did not start and now stops.
     *
     * @param run the id of the run
     * @param token the fencing token of the stop call
     */
    void orphanFound(RunId run, long token);

    /**
     * Logs that stop calls have failed, so that a run may go on although its order was withdrawn.
     *
     * @param order the id of the order
     * @param run the id of the run
     * @param nanosSinceWithdrawal the time since the order was withdrawn, in nanoseconds
     */
    void stopOverdue(OrderId order, RunId run, long nanosSinceWithdrawal);

    /**
     * Logs that missed polls have made the worker unavailable.
     *
     * @param result the result of the last poll
     */
    void workerUnresponsive(PollResult result);
}
