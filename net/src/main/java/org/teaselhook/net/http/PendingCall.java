package org.teaselhook.net.http;

import java.util.concurrent.CompletableFuture;

/**
 * A request in flight. Thread-safe; only the first result is kept.
 */
final class PendingCall {

    private final HttpCall call;
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();

    PendingCall(HttpCall call) {
        this.call = call;
    }

    HttpCall call() {
        return call;
    }

    CompletableFuture<HttpResult> result() {
        return result;
    }

    boolean isDone() {
        return result.isDone();
    }

    void replied(HttpReply reply) {
        result.complete(new HttpResult.Replied(reply));
    }

    void notSent(String reason) {
        result.complete(new HttpResult.NotSent(reason));
    }

    void lost(String reason) {
        result.complete(new HttpResult.Lost(reason));
    }
}
