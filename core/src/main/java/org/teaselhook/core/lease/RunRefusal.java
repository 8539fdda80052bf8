package org.teaselhook.core.lease;

/**
 * The reason why an order was refused. The run has not begun and never will under that order.
 */
public enum RunRefusal {
    /** The worker's free capacity does not suffice for the task. */
    NO_ROOM,
    /** The agent has not received the order. */
    NEVER_ARRIVED,
    /** The entry's last contact with this agent was too long ago when it sent the order. */
    STALE_ENTRY,
    /** The order arrived after the latest time at which the task may start. */
    START_BY_PASSED,
    /** Operators have taken the zone out of service. */
    ZONE_OUT,
    /** No worker of the service accepts work. */
    NO_WORKER,
    /** The worker refused the start call. */
    WORKER_REFUSED,
    /** The worker did not answer the start call, and can no longer carry it out. */
    UNANSWERED,
    /** The entry withdrew the order before the run began. */
    CANCELLED;

    /**
     * Tells whether the worker would probably refuse further orders for a while.
     *
     * @return false if the reason concerns only this order or its start call
     */
    public boolean shouldAvoidWorker() {
        return this == WORKER_REFUSED || this == NO_WORKER || this == ZONE_OUT || this == STALE_ENTRY;
    }
}
