package org.teaselhook.node.route;

import java.util.Set;

import org.teaselhook.core.route.Route;
import org.teaselhook.core.route.Routes;
import org.teaselhook.wire.RouteDocument;
import org.teaselhook.wire.RouteMessage;

/**
 * Routes as messages.
 */
public final class RouteMessages {

    private RouteMessages() {}

    /**
     * Writes routes.
     *
     * @param routes the routes
     * @return the message
     */
    public static RouteDocument document(Routes routes) {
        RouteDocument.Builder document = RouteDocument.newBuilder()
                .setVersion(routes.version())
                .setConfigVersion(routes.configVersion())
                .addAllZonesOut(routes.zonesOut());
        routes.routes().forEach(route -> document.addRoutes(message(route)));
        return document.build();
    }

    /**
     * Reads routes.
     *
     * @param document the message
     * @return the routes
     */
    public static Routes routes(RouteDocument document) {
        return new Routes(
                document.getVersion(),
                document.getConfigVersion(),
                document.getRoutesList().stream().map(RouteMessages::route).toList(),
                Set.copyOf(document.getZonesOutList()));
    }

    private static RouteMessage message(Route route) {
        return RouteMessage.newBuilder()
                .setName(route.name())
                .setHost(route.host())
                .setPathPrefix(route.pathPrefix())
                .setService(route.service())
                .setPriority(route.priority())
                .setMaxAttempts(route.maxAttempts())
                .setStretch(route.stretch())
                .setTargetLatencyMillis(route.targetLatencyMillis())
                .setTimeoutMillis(route.timeoutMillis())
                .build();
    }

    private static Route route(RouteMessage message) {
        return new Route(
                message.getName(),
                message.getHost(),
                message.getPathPrefix(),
                message.getService(),
                message.getPriority(),
                message.getMaxAttempts(),
                message.getStretch(),
                message.getTargetLatencyMillis(),
                message.getTimeoutMillis());
    }
}
