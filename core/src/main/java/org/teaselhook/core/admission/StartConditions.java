package org.teaselhook.core.admission;

/**
 * What the agent knows at the instant of a start.
 *
 * @param configVersion the newest configuration seen; 0 while none is known
 * @param zoneOut whether that configuration takes the agent's availability zone out of service
 * @param leaving whether the agent is stopping
 * @param targetAvailable whether a target of the task's service is announced and not leaving
 * @param freeSlots the slots in which no task runs
 */
public record StartConditions(
        long configVersion, boolean zoneOut, boolean leaving, boolean targetAvailable, int freeSlots) {}
