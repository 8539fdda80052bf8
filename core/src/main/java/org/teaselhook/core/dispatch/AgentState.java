package org.teaselhook.core.dispatch;

import java.util.Set;

/**
 * What an agent repeats on its heartbeats.
 *
 * @param services the services of its targets that are not leaving
 * @param leaving whether the agent itself is leaving
 * @param configVersion the highest configuration version that it has seen
 * @param freeSlots its free slots, granted or not
 */
public record AgentState(Set<String> services, boolean leaving, long configVersion, int freeSlots) {

    /** Copies the services. */
    public AgentState {
        services = Set.copyOf(services);
    }
}
