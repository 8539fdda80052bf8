package org.teaselhook.core.route;

/**
 * The result of reading the routing configuration.
 */
public sealed interface RouteRead {

    /**
     * The routing configuration was read.
     *
     * @param routes the routing configuration
     */
    record Found(Routes routes) implements RouteRead {}

    /**
     * No usable routing configuration was read.
     *
     * @param reason the cause
     */
    record Unavailable(String reason) implements RouteRead {}
}
