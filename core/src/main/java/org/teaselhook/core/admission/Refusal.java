package org.teaselhook.core.admission;

/**
 * Why a task did not start and never will under its dispatch number.
 */
public enum Refusal {
    /** All slots are in use. */
    NO_FREE_SLOT("all slots are in use; dispatch within the granted slots"),
    /** The latest start has passed. */
    START_BY_PASSED("the latest start has passed; dispatch earlier"),
    /** Operators have taken the availability zone out of service. */
    ZONE_OUT("the availability zone is out of service; use an agent of another zone"),
    /** The agent is stopping. */
    LEAVING("the agent is stopping; use another agent"),
    /** No target of the service is announced here. */
    NO_TARGET("no target of the service is announced; use another agent"),
    /** The entry had not heard from the agent recently enough. */
    STALE_ENTRY("the dispatch rests on an old heartbeat; send it again under a new number"),
    /** The dispatch was meant for another run of the agent. */
    WRONG_INCARNATION("the dispatch is meant for an earlier run of the agent; send it again under a new number"),
    /** The entry asked for a dispatch that had not arrived. */
    NEVER_ARRIVED("the dispatch never arrived; send it again under a new number"),
    /** The entry cancelled the task before it was sent to the target. */
    CANCELLED("the task was cancelled before its start"),
    /** No connection to the target could be opened. */
    CONNECT_FAILED("the target accepts no connection; use another agent"),
    /** The agent has not yet seen the configuration that the entry decided by. */
    CONFIG_UNKNOWN("the agent has not seen the configuration yet; send it with the next heartbeat");

    private final String remedy;

    Refusal(String remedy) {
        this.remedy = remedy;
    }

    /**
     * Returns what was wrong and what helps.
     *
     * @return one clause without a final stop
     */
    public String remedy() {
        return remedy;
    }
}
