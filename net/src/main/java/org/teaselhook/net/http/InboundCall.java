package org.teaselhook.net.http;

import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request that has not been answered yet. Callbacks for a disconnect of the caller are registered with the request,
 * not with its connection, so that they are released with the request.
 *
 * @param call the request
 * @param callerDisconnected completes when the caller's connection closes before the answer
 */
record InboundCall(HttpCall call, CompletableFuture<Void> callerDisconnected) {

    /**
     * Decodes a request.
     *
     * @param receivedAt when it was read, in nanoseconds
     * @throws IllegalArgumentException if its URI is malformed
     */
    static InboundCall of(FullHttpRequest request, long receivedAt) {
        CompletableFuture<Void> callerDisconnected = new CompletableFuture<>();
        return new InboundCall(NettyMessages.call(request, callerDisconnected, receivedAt), callerDisconnected);
    }

    void connectionClosed() {
        callerDisconnected.complete(null);
    }
}
