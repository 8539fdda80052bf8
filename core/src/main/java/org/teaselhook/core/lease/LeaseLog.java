package org.teaselhook.core.lease;

/**
 * Told what an agent believes of its worker, for the log.
 */
public interface LeaseLog {

    /**
     * A report arrived after a newer one.
     *
     * @param report the report
     */
    void lateReport(WorkerReport report);

    /**
     * A worker's draining or capacity changed.
     *
     * @param report what it says now
     */
    void workerChanged(WorkerReport report);

    /**
     * A worker ends.
     *
     * @param workerId its id
     */
    void workerLeft(String workerId);

    /**
     * A new worker, or a new life of one.
     *
     * @param report what it says
     * @param lostRuns the number of runs of the life before
     */
    void workerBegan(WorkerReport report, int lostRuns);

    /**
     * A start call has an answer, or none.
     *
     * @param order the order
     * @param run the run
     * @param result what became of it
     */
    void startAnswered(OrderId order, RunId run, StartResult result);

    /**
     * The worker had seen a higher fencing token.
     *
     * @param newToken the token used from now on
     */
    void fenced(long newToken);

    /**
     * The worker takes work, or does not any more.
     *
     * @param open whether it does
     * @param strays the number of runs there that nobody here ordered
     */
    void openChanged(boolean open, int strays);

    /**
     * A run that nobody here ordered is on the worker, and is stopped.
     *
     * @param run the run
     */
    void stray(RunId run);

    /**
     * The worker did not answer a look.
     *
     * @param result what was seen
     */
    void missed(LookResult result);
}
