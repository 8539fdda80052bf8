package org.teaselhook.core.lease;

/**
 * Why an order was not carried out. The run has not begun and never will under that order.
 */
public enum RunRefusal {
    /** What is free does not cover the task. */
    NO_ROOM,
    /** The order never arrived. */
    NEVER_ARRIVED,
    /** Too long ago, the entry had heard from this agent. */
    STALE_ENTRY,
    /** It arrived after the last useful start. */
    START_BY_PASSED,
    /** Operators have taken the zone out of service. */
    ZONE_OUT,
    /** There is no worker of the service that takes work. */
    NO_WORKER,
    /** The worker turned the start down. */
    WORKER_REFUSED,
    /** The worker did not answer the start, and was kept from acting on it later. */
    UNANSWERED,
    /** The entry withdrew the order before the run began. */
    CANCELLED;

    /**
     * Tells whether the next order there would probably fare no better for a while.
     *
     * @return false where the reason lies with this one order, or with its call
     */
    public boolean isOfWorker() {
        return this == WORKER_REFUSED || this == NO_WORKER || this == ZONE_OUT || this == STALE_ENTRY;
    }
}
