package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.admin.AdminHandler;
import org.teaselhook.node.health.HealthEndpoints;

/**
 * Routes HTTP requests to the health endpoints, the admin handler and the caller handler.
 */
final class EntryHttpRouter implements HttpHandler {

    private final HealthEndpoints health;
    private final AdminHandler admin;
    private final CallerHandler callers;

    EntryHttpRouter(HealthEndpoints health, AdminHandler admin, CallerHandler callers) {
        this.health = health;
        this.admin = admin;
        this.callers = callers;
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        Optional<HttpReply> reply = health.handle(call);
        if (reply.isPresent()) {
            return CompletableFuture.completedFuture(reply.get());
        }
        return call.path().startsWith(AdminHandler.PREFIX) ? admin.handle(call) : callers.handle(call);
    }
}
