package org.teaselhook.core.route;

/**
 * The result of reading the operators' decisions.
 */
public sealed interface RouteRead {

    /**
     * They were read.
     *
     * @param routes the decisions
     */
    record Found(Routes routes) implements RouteRead {}

    /**
     * Nothing usable was read.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements RouteRead {}
}
