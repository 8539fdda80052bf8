package org.teaselhook.core.lease;

/**
 * Receives the results of orders and changes of the worker's state.
 */
public interface RunListener {

    /**
     * Called when a run has certainly ended.
     *
     * @param request the request of the run
     * @param outcome how the run ended
     * @param runMillis the duration of the run, in milliseconds
     * @param report how the end is known
     */
    void ended(RunRequest request, RunOutcome outcome, long runMillis, EndReport report);

    /**
     * Called when an order was refused: its run has not begun and never will under this order.
     *
     * @param request the refused request
     * @param refusal the reason
     * @param report how it is known that the run has not begun
     */
    void refused(RunRequest request, RunRefusal refusal, EndReport report);

    /** Called when the worker's free capacity has changed. */
    void freeCapacityChanged();

    /** Called when the worker's availability or its total capacity has changed. */
    void workerChanged();
}
