package org.teaselhook.node.session;

import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.wire.ConfigDocument;

/**
 * Is told what an entry learns through its sessions beside the work itself. Called on the control thread.
 */
public interface SessionEvents {

    /**
     * An agent names the highest configuration version that it has seen.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param version the version
     * @return true if the agent is to be asked for its text
     */
    boolean agentSawVersion(long nowNanos, AgentInfo agent, long version);

    /**
     * An agent sent the configuration that it holds.
     *
     * @param document the configuration
     */
    void configReceived(ConfigDocument document);
}
