package org.teaselhook.node.agent;

import org.teaselhook.net.http.HttpResult;

/**
 * Delivers asynchronous events to {@link AgentControl}.
 */
interface AgentCallbacks {

    /** Called once for each task that was sent to a target, on an I/O thread. */
    void taskFinished(RunningTask task, HttpResult result);

    /** Schedules a call of {@link AgentControl#expireHeld} after a delay. */
    void scheduleExpiry(long nanos);
}
