package org.teaselhook.core.route;

import java.util.List;
import java.util.Set;

/**
 * The routing configuration as of one version of the store: the routes, and the availability zones out of service.
 *
 * @param version the version of the store at the time of the read; 0 if nothing was read
 * @param configVersion the version that operators assigned to the routes
 * @param routes the routes
 * @param zonesOut the availability zones out of service, which receive no new work
 */
public record Routes(long version, long configVersion, List<Route> routes, Set<String> zonesOut) {

    private static final Routes NONE = new Routes(0, 0, List.of(), Set.of());

    /** Copies the collections. */
    public Routes {
        routes = List.copyOf(routes);
        zonesOut = Set.copyOf(zonesOut);
    }

    // -- factories

    /**
     * Returns the initial configuration of a process, before the first read.
     *
     * @return a configuration without routes, of version 0
     */
    public static Routes none() {
        return NONE;
    }

    // -- accessors

    /**
     * Tells whether this configuration was read from the store, unlike the initial one.
     *
     * @return true if it was read
     */
    public boolean isKnown() {
        return configVersion > 0;
    }

    /**
     * Tells whether a zone is out of service and receives no new work.
     *
     * @param zone the availability zone
     * @return true if operators have taken it out of service
     */
    public boolean isOut(String zone) {
        return zonesOut.contains(zone);
    }

    // -- transformations

    /**
     * Returns the newer of two configurations. Neither the store's version nor the operators' version ever decreases,
     * so a stale read is ignored. This configuration is also kept if the other one has the same content.
     *
     * @param other a configuration that was read from the store or received from another process
     * @return this configuration or the other one
     */
    public Routes newer(Routes other) {
        boolean later = other.version > version && other.configVersion >= configVersion;
        return later && !hasSameContent(other) ? other : this;
    }

    private boolean hasSameContent(Routes other) {
        return configVersion == other.configVersion && zonesOut.equals(other.zonesOut) && routes.equals(other.routes);
    }
}
