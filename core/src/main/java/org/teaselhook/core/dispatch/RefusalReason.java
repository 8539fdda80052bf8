package org.teaselhook.core.dispatch;

/**
 * The reason why an agent did not start a task and never will under that dispatch number.
 */
public enum RefusalReason {
    /** No slot was free. */
    NO_FREE_SLOT(false),
    /** The dispatch number was refused before. */
    ALREADY_SEEN(false),
    /** The latest start time had passed. */
    START_BY_PASSED(false),
    /** The availability zone is out of service. */
    ZONE_OUT(true),
    /** The agent or its target is leaving. */
    LEAVING(true),
    /** No target of the service is announced. */
    NO_TARGET(true),
    /** The last message of the entry was too old. */
    STALE_ENTRY(true),
    /** The dispatch was addressed to another incarnation of the agent. */
    WRONG_INCARNATION(true),
    /** The dispatch was lost with a connection. */
    NEVER_ARRIVED(false),
    /** The entry cancelled the dispatch before the task started. */
    CANCELLED(false),
    /** No connection to the target could be opened, or the target answered that it did not start the task. */
    CONNECT_FAILED(true),
    /** The dispatch carried a newer configuration version than the agent's. */
    CONFIG_UNKNOWN(true);

    private final boolean appliesToAgent;

    RefusalReason(boolean appliesToAgent) {
        this.appliesToAgent = appliesToAgent;
    }

    /**
     * Tells whether the next task for this agent would probably be refused too.
     *
     * @return true if the agent should get no new tasks for a short time
     */
    public boolean appliesToAgent() {
        return appliesToAgent;
    }
}
