package org.teaselhook.node.job;

import java.util.Set;

/**
 * The state that an entry sends with each answer to an agent's heartbeat.
 *
 * @param routesVersion the version of the routes that the entry holds
 * @param zonesOut the availability zones that get no new work
 * @param leaving whether the entry is shutting down
 */
record Pulse(long routesVersion, Set<String> zonesOut, boolean leaving) {}
