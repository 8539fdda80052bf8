package org.teaselhook.net.http;

import java.util.concurrent.CompletionStage;

/**
 * Answers requests. Called on I/O threads; must not block.
 */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Answers one request.
     *
     * @param call the request
     * @return the response; an exceptional completion is answered with status 500
     */
    CompletionStage<HttpReply> handle(HttpCall call);
}
