package org.teaselhook.node.route;

import java.util.Set;

import org.teaselhook.core.route.Route;
import org.teaselhook.core.route.Routes;
import org.teaselhook.wire.RouteDocument;
import org.teaselhook.wire.RouteMessage;

/**
 * Conversion between routes and their messages.
 */
public final class RouteMessages {

    private RouteMessages() {}

    /**
     * Converts routes to a message.
     *
     * @param routes the routes
     * @return the message
     */
    public static RouteDocument toDocument(Routes routes) {
        RouteDocument.Builder document = RouteDocument.newBuilder()
                .setVersion(routes.version())
                .setConfigVersion(routes.configVersion())
                .addAllZonesOut(routes.zonesOut());
        routes.routes().forEach(route -> document.addRoutes(toMessage(route)));
        return document.build();
    }

    /**
     * Converts a message to routes.
     *
     * @param document the message
     * @return the routes
     */
    public static Routes fromDocument(RouteDocument document) {
        return new Routes(
                document.getVersion(),
                document.getConfigVersion(),
                document.getRoutesList().stream()
                        .map(RouteMessages::fromMessage)
                        .toList(),
                Set.copyOf(document.getZonesOutList()));
    }

    private static RouteMessage toMessage(Route route) {
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

    private static Route fromMessage(RouteMessage message) {
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
