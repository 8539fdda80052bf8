package org.teaselhook.net.http;

import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request that is not answered yet. What waits for the caller to leave is held by the request, not by its
 * connection, and goes with it.
 *
 * @param call the request
 * @param closed completes when the caller's connection closes before the answer
 */
record OpenCall(HttpCall call, CompletableFuture<Void> closed) {

    /**
     * Reads a request.
     *
     * @throws IllegalArgumentException if its URI is malformed
     */
    static OpenCall of(FullHttpRequest request) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        return new OpenCall(NettyMessages.call(request, closed), closed);
    }

    void callerLeft() {
        closed.complete(null);
    }
}
