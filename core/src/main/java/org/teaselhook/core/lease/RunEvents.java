package org.teaselhook.core.lease;

/**
 * Where the runs of a worker tell what became of orders.
 */
public interface RunEvents {

    /**
     * A run has certainly ended.
     *
     * @param request the order
     * @param outcome how it ended
     * @param runMillis how long it ran, in milliseconds
     */
    void ended(RunRequest request, RunOutcome outcome, long runMillis);

    /**
     * A run has not begun and never will under this order.
     *
     * @param request the order
     * @param refusal the reason
     */
    void refused(RunRequest request, RunRefusal refusal);

    /** What is free on the worker has changed. */
    void roomChanged();

    /** Whether the worker takes work has changed, or what it has. */
    void workerChanged();
}
