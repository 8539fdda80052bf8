package org.teaselhook.node.peer;

import org.teaselhook.core.id.Incarnation;

/**
 * The state that another entry reported in a heartbeat.
 *
 * @param name its name
 * @param incarnation its incarnation
 * @param zone its availability zone
 * @param address its gRPC address (host:port)
 * @param configVersion the highest configuration version that it has seen
 * @param leaving whether it is stopping
 */
public record PeerInfo(
        String name, Incarnation incarnation, String zone, String address, long configVersion, boolean leaving) {}
