package org.teaselhook.standin.target;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of one target.
 *
 * @param name the target's name
 * @param service the service whose tasks it runs
 * @param zone the availability zone, for the record of starts
 * @param bind the address to listen on; port 0 picks a free one
 * @param agent the HTTP address of the agent beside it
 * @param announced the address announced in place of the one listened on, or empty
 * @param namesAttempt whether an answer is the task's body, a space and the attempt rather than the body alone
 */
public record TargetSettings(
        String name,
        String service,
        String zone,
        InetSocketAddress bind,
        InetSocketAddress agent,
        Optional<InetSocketAddress> announced,
        boolean namesAttempt) {

    /** Checks that nothing is null. */
    public TargetSettings {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(bind, "bind is null");
        Objects.requireNonNull(agent, "agent is null");
        Objects.requireNonNull(announced, "announced is null");
    }

    // -- factories

    /**
     * Returns settings of a target on a free loopback port.
     *
     * @param name the target's name
     * @param service the service whose tasks it runs
     * @param zone the availability zone
     * @param agent the HTTP address of the agent beside it
     * @return the settings
     */
    public static TargetSettings of(String name, String service, String zone, InetSocketAddress agent) {
        InetSocketAddress bind = new InetSocketAddress("127.0.0.1", 0);
        return new TargetSettings(name, service, zone, bind, agent, Optional.empty(), false);
    }

    // -- transformations

    /**
     * Puts a relay before the target.
     *
     * @param listened the address to listen on
     * @param address the address to announce
     * @return new settings
     */
    public TargetSettings behind(InetSocketAddress listened, InetSocketAddress address) {
        return new TargetSettings(name, service, zone, listened, agent, Optional.of(address), namesAttempt);
    }

    /**
     * Lets answers name the attempt, so that two runs of one task give different answers.
     *
     * @return new settings
     */
    public TargetSettings namingAttempts() {
        return new TargetSettings(name, service, zone, bind, agent, announced, true);
    }
}
