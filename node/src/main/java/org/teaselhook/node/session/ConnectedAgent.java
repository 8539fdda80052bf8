package org.teaselhook.node.session;

import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;

/**
 * An agent that is connected to an entry.
 *
 * @param info the identity of the agent
 * @param state the state that it last reported
 */
public record ConnectedAgent(AgentInfo info, AgentState state) {}
