/**
 * The agent: a process next to its targets that admits or refuses each task at the time of start and retains results
 * until they are acknowledged.
 *
 * <p>{@link org.teaselhook.node.agent.AgentNode} assembles the components. {@code AgentControl} and {@code EntryLinks}
 * hold all state and are confined to one control thread, to which I/O threads pass events.
 */
package org.teaselhook.node.agent;
