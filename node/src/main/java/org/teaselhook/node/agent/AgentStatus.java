package org.teaselhook.node.agent;

import java.util.Optional;

/**
 * A snapshot of an agent's state, for its health endpoints.
 *
 * @param configVersion the newest configuration seen; 0 while none is known
 * @param zoneOut whether the agent's availability zone is out of service
 * @param leaving whether the agent is stopping
 * @param entries the number of connected entries
 * @param targetAvailable whether any target is available
 * @param running the number of running tasks
 * @param granted the number of slots granted and not used
 * @param unacknowledged the number of started tasks whose results are not acknowledged
 */
record AgentStatus(
        long configVersion,
        boolean zoneOut,
        boolean leaving,
        int entries,
        boolean targetAvailable,
        int running,
        int granted,
        int unacknowledged) {

    private static final AgentStatus INITIAL = new AgentStatus(0, false, false, 0, false, 0, 0, 0);

    static AgentStatus initial() {
        return INITIAL;
    }

    /** Returns why the agent cannot start tasks, or empty if it can. */
    Optional<String> unreadyReason() {
        if (leaving) {
            return Optional.of("the agent is stopping");
        }
        if (entries == 0) {
            return Optional.of("no entry is connected; check `entries` in the settings");
        }
        if (configVersion == 0) {
            return Optional.of("no configuration is known yet");
        }
        return targetAvailable ? Optional.empty() : Optional.of("no target is announced; POST /v1/targets");
    }
}
