package org.teaselhook.net.http;

import java.util.concurrent.CompletableFuture;

/**
 * A request in flight. Thread-safe; only the first result is kept.
 */
final class PendingCall {

    private final HttpCall call;
    private final long sendBy;
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();

    PendingCall(HttpCall call, long sendBy) {
        this.call = call;
        this.sendBy = sendBy;
    }

    HttpCall call() {
        return call;
    }

    CompletableFuture<HttpResult> result() {
        return result;
    }

    /** Whether it is too late to send the request. */
    boolean isOverdue(long nowNanos) {
        return nowNanos - sendBy > 0;
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
