package org.teaselhook.node.agent;

import org.teaselhook.net.http.HttpResult;

/**
 * Takes what {@link AgentControl} has to hear of later.
 */
interface AgentEvents {

    /** Called once for each task that was sent, on a traffic thread. */
    void finished(RunningTask task, HttpResult result);

    /** Asks for a call of {@link AgentControl#expireHeld} after a time. */
    void wakeAfter(long nanos);
}
