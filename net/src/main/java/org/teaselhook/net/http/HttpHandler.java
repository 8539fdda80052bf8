package org.teaselhook.net.http;

import java.util.concurrent.CompletionStage;

/**
 * Answers requests. Called on a traffic thread and must not block.
 */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Answers one request.
     *
     * @param call the request
     * @return the response, later; an exceptional completion becomes status 500
     */
    CompletionStage<HttpReply> handle(HttpCall call);
}
