/**
 * The agent: the process beside a target that decides at the instant of start and keeps results until they are
 * acknowledged.
 *
 * <p>{@link org.teaselhook.node.agent.AgentNode} wires the parts together. {@code AgentControl} and {@code EntryLinks}
 * hold all state and are confined to one control thread; traffic threads hand it events.
 */
package org.teaselhook.node.agent;
