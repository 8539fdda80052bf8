package org.teaselhook.core.route;

import java.util.List;
import java.util.Set;

/**
 * The operators' decisions as of one version of the store: the routes, and the availability zones out of service.
 *
 * @param version the store's version as of which this was read; 0 while nothing was
 * @param configVersion the version that operators gave the routes
 * @param routes the routes
 * @param zonesOut the availability zones that get no new work
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
     * Returns what a process knows before it has read anything.
     *
     * @return no routes, version 0
     */
    public static Routes none() {
        return NONE;
    }

    // -- accessors

    /**
     * Tells whether routes were ever read.
     *
     * @return true if so
     */
    public boolean isKnown() {
        return configVersion > 0;
    }

    /**
     * Tells whether a zone gets no new work.
     *
     * @param zone the availability zone
     * @return true if operators have taken it out
     */
    public boolean isOut(String zone) {
        return zonesOut.contains(zone);
    }

    // -- transformations

    /**
     * Returns the newer of the two. Neither the store's version nor the operators' ever falls, so a late answer of a
     * store that serves old reads changes nothing; nor does another reading of the same decisions.
     *
     * @param other what was read or heard
     * @return this or the other
     */
    public Routes newer(Routes other) {
        boolean later = other.version > version && other.configVersion >= configVersion;
        return later && !says(other) ? other : this;
    }

    private boolean says(Routes other) {
        return configVersion == other.configVersion && zonesOut.equals(other.zonesOut) && routes.equals(other.routes);
    }
}
