package org.teaselhook.node.job;

import java.util.Set;

/**
 * What an entry tells with each echo of an agent's stamp.
 *
 * @param routesVersion the version of the routes held
 * @param zonesOut the availability zones that get no new work
 * @param leaving whether the entry is about to stop
 */
record Pulse(long routesVersion, Set<String> zonesOut, boolean leaving) {}
