package org.teaselhook.core.admission;

/**
 * The state of the agent at the instant of a start.
 *
 * @param configVersion the newest configuration version seen; 0 while none is known
 * @param zoneOut whether that configuration takes the agent's availability zone out of service
 * @param leaving whether the agent is stopping
 * @param targetAvailable whether a target of the task's service is registered and not stopping
 * @param freeSlots the number of slots in which no task runs
 */
public record StartConditions(
        long configVersion, boolean zoneOut, boolean leaving, boolean targetAvailable, int freeSlots) {}
