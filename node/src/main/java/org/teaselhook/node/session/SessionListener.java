package org.teaselhook.node.session;

import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.wire.ConfigDocument;

/**
 * Receives the configuration versions and documents that agents report. Called on the control thread.
 */
public interface SessionListener {

    /**
     * Called when an agent reports the highest configuration version that it has seen.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param agent the agent
     * @param version the version
     * @return true if the document should be requested from the agent
     */
    boolean agentReportedVersion(long nowNanos, AgentInfo agent, long version);

    /**
     * Called when an agent has sent the configuration document that it holds.
     *
     * @param document the configuration
     */
    void configReceived(ConfigDocument document);
}
