package org.teaselhook.node.agent;

import org.teaselhook.net.http.HttpResult;

/**
 * Takes events of running tasks. Called on traffic threads.
 */
@FunctionalInterface
interface AgentEvents {

    /** Called once for each task that was sent. */
    void finished(RunningTask task, HttpResult result);
}
