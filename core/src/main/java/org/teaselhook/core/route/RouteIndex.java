package org.teaselhook.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request among thousands: each request is looked up, and operators' configurations may grow by
 * more than a thousand routes. Immutable.
 */
public final class RouteIndex {

    private static final RouteIndex EMPTY = new RouteIndex(List.of());

    private final Map<String, Map<String, Route>> byHostAndPrefix = new HashMap<>();

    private RouteIndex(List<Route> routes) {
        for (Route route : routes) {
            byHostAndPrefix
                    .computeIfAbsent(lower(route.host()), host -> new HashMap<>())
                    .putIfAbsent(route.pathPrefix(), route);
        }
    }

    /**
     * Returns the index of no routes.
     *
     * @return an index that finds nothing
     */
    public static RouteIndex empty() {
        return EMPTY;
    }

    /**
     * Returns the index of routes.
     *
     * @param routes the routes; of two for the same host and prefix, the first counts
     * @return the index
     */
    public static RouteIndex of(List<Route> routes) {
        return new RouteIndex(routes);
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host the host that the caller named, without port
     * @param path the request's path
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = byHostAndPrefix.getOrDefault(lower(host), Map.of());
        for (int length = byPrefix.isEmpty() ? -1 : path.length(); length >= 0; length--) {
            Route route = byPrefix.get(path.substring(0, length));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String lower(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
