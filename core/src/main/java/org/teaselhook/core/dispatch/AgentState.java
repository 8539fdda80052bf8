package org.teaselhook.core.dispatch;

import java.util.Set;

/**
 * The state of an agent, reported with each heartbeat.
 *
 * @param services the services of the agent's targets that are not leaving
 * @param leaving whether the agent itself is leaving
 * @param configVersion the highest configuration version that the agent has seen
 * @param freeSlots the number of free slots, granted or not
 */
public record AgentState(Set<String> services, boolean leaving, long configVersion, int freeSlots) {

    /** Copies the services. */
    public AgentState {
        services = Set.copyOf(services);
    }
}
