package org.teaselhook.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An index that finds the route of a request. Every request is looked up, and a configuration may grow by more than a
 * thousand routes. Immutable.
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
     * Returns the empty index.
     *
     * @return an index that finds nothing
     */
    public static RouteIndex empty() {
        return EMPTY;
    }

    /**
     * Returns an index of routes.
     *
     * @param routes the routes; the first is used of several with the same host and prefix
     * @return the index
     */
    public static RouteIndex of(List<Route> routes) {
        return new RouteIndex(routes);
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host the host of the request, without port
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
