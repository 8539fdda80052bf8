package org.teaselhook.node.agent;

import org.teaselhook.core.id.Incarnation;

/**
 * Who an agent is, as it tells entries.
 *
 * @param name the worker's name
 * @param incarnation this run of the agent
 * @param zone the availability zone
 * @param rack the rack
 * @param slots how many tasks run at once
 */
record AgentIdentity(String name, Incarnation incarnation, String zone, String rack, int slots) {}
