package org.teaselhook.node.session;

import org.teaselhook.core.dispatch.AgentInfo;

/**
 * Is told what an entry learns through its sessions beside the work itself. Called on the control thread.
 */
public interface SessionEvents {

    /**
     * An agent names the highest configuration version that it has seen.
     *
     * @param agent the agent
     * @param version the version
     */
    void agentSawVersion(AgentInfo agent, long version);
}
