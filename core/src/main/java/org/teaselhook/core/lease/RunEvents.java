package org.teaselhook.core.lease;

/**
 * Where the runs of a worker tell what became of orders.
 */
public interface RunEvents {

    /**
     * A run has certainly ended.
     *
     * @param order the order
     * @param outcome how it ended
     * @param runMillis how long it ran, in milliseconds
     */
    void ended(OrderId order, RunOutcome outcome, long runMillis);

    /**
     * A run has not begun and never will under this order.
     *
     * @param order the order
     * @param refusal the reason
     */
    void refused(OrderId order, RunRefusal refusal);

    /** What is free, or whether the worker takes work, has changed. */
    void changed();
}
