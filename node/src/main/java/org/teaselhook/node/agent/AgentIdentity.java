package org.teaselhook.node.agent;

import org.teaselhook.core.id.Incarnation;

/**
 * The identity of an agent, as reported to entries.
 *
 * @param name the worker's name
 * @param incarnation the incarnation of this agent process
 * @param zone the availability zone
 * @param rack the rack
 * @param slots the maximum number of concurrent tasks
 */
record AgentIdentity(String name, Incarnation incarnation, String zone, String rack, int slots) {}
