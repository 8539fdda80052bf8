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
    /** The worker turned the start down, or did not answer it and was kept from acting on it later. */
    WORKER_REFUSED,
    /** The entry withdrew the order before the run began. */
    CANCELLED
}
