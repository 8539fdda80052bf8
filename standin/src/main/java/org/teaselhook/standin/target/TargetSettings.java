package org.teaselhook.standin.target;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Settings of one target.
 *
 * @param name the target's name
 * @param service the service whose tasks it runs
 * @param zone the availability zone, reported with each start
 * @param bind the address to listen on; port 0 picks a free one
 * @param agent the HTTP address of its local agent
 */
public record TargetSettings(
        String name, String service, String zone, InetSocketAddress bind, InetSocketAddress agent) {

    /** Checks that nothing is null. */
    public TargetSettings {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(bind, "bind is null");
        Objects.requireNonNull(agent, "agent is null");
    }

    /**
     * Returns settings of a target on a free loopback port.
     *
     * @param name the target's name
     * @param service the service whose tasks it runs
     * @param zone the availability zone
     * @param agent the HTTP address of its local agent
     * @return the settings
     */
    public static TargetSettings of(String name, String service, String zone, InetSocketAddress agent) {
        return new TargetSettings(name, service, zone, new InetSocketAddress("127.0.0.1", 0), agent);
    }
}
