package org.teaselhook.node.session;

import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;

/**
 * An agent with a live connection.
 *
 * @param info who it is
 * @param state what it last said
 */
public record ConnectedAgent(AgentInfo info, AgentState state) {}
