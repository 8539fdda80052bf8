package org.teaselhook.app.local;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/**
 * A blocking HTTP client of a local cluster.
 */
final class LocalClient implements AutoCloseable {

    private static final long TIMEOUT_MILLIS = 10_000;

    private final HttpClient client = HttpClient.create(4, 1_000);
    private final InetSocketAddress server;

    LocalClient(InetSocketAddress server) {
        this.server = server;
    }

    /** Sends a request; returns status 599 if there is no answer. */
    HttpReply send(String method, String path, Map<String, String> headers, String body) {
        return send(method, path, Map.of(), headers, body);
    }

    /** Sends a request with query parameters; returns status 599 if there is no answer. */
    HttpReply send(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpCall call = new HttpCall(method, path, query, headers, bytes, new CompletableFuture<>());
        HttpResult result =
                client.send(server, call, TIMEOUT_MILLIS).toCompletableFuture().join();
        if (result instanceof HttpResult.Replied replied) {
            return replied.reply();
        }
        return HttpReply.of(599, "text/plain", result.toString());
    }

    @Override
    public void close() {
        client.close();
    }
}
