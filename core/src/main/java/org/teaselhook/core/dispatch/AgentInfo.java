package org.teaselhook.core.dispatch;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The description of an agent, sent when it connects.
 *
 * @param incarnation the incarnation of the agent
 * @param name the agent's name
 * @param zone the availability zone
 * @param rack the rack
 * @param slots the number of tasks that can run at once
 */
public record AgentInfo(Incarnation incarnation, String name, String zone, String rack, int slots) {

    /** Checks that nothing is null. */
    public AgentInfo {
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(rack, "rack is null");
    }
}
