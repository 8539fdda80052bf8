package org.teaselhook.node.agent;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.ProblemReply;
import org.teaselhook.node.health.HealthEndpoints;

/**
 * Handles target announcements and withdrawals, and serves the health endpoints.
 */
final class AgentHttp implements HttpHandler {

    private static final String TARGETS = "/v1/targets";
    private static final HttpReply NO_CONTENT = new HttpReply(204, Map.of(), new byte[0]);

    private final HealthEndpoints endpoints;
    private final Function<Announcement, CompletionStage<Void>> announce;
    private final Function<String, CompletionStage<Boolean>> withdraw;

    AgentHttp(
            HealthEndpoints endpoints,
            Function<Announcement, CompletionStage<Void>> announce,
            Function<String, CompletionStage<Boolean>> withdraw) {
        this.endpoints = endpoints;
        this.announce = announce;
        this.withdraw = withdraw;
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        Optional<HttpReply> reply = endpoints.handle(call);
        if (reply.isPresent()) {
            return CompletableFuture.completedFuture(reply.get());
        }
        if (call.method().equals("POST") && call.path().equals(TARGETS)) {
            return handleAnnouncement(call);
        }
        if (call.method().equals("DELETE") && call.path().startsWith(TARGETS + "/")) {
            return withdraw.apply(call.path().substring(TARGETS.length() + 1)).thenApply(AgentHttp::withdrawalReply);
        }
        return badRequest("there is no " + call.method() + " " + call.path() + "; use POST /v1/targets");
    }

    private CompletionStage<HttpReply> handleAnnouncement(HttpCall call) {
        return Announcement.parse(call.body())
                .map(announcement -> announce.apply(announcement).thenApply(ignored -> NO_CONTENT))
                .orElseGet(() -> badRequest("the announcement is malformed; " + Announcement.FORMAT));
    }

    private static HttpReply withdrawalReply(boolean known) {
        return known ? NO_CONTENT : HttpReply.of(404, "text/plain; charset=utf-8", "no such target is announced\n");
    }

    private static CompletionStage<HttpReply> badRequest(String detail) {
        Problem problem = Problem.of(ProblemKind.BAD_REQUEST, detail);
        return CompletableFuture.completedFuture(ProblemReply.notRun(problem));
    }
}
