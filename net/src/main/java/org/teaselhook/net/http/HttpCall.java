package org.teaselhook.net.http;

import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

/**
 * A complete HTTP request, received or to be sent. The body array must not be changed.
 *
 * @param method the method in upper case
 * @param path the decoded path, starting with a slash
 * @param query the decoded query parameters; the last value of repeated ones
 * @param headers the headers, names in lower case; the last value of repeated ones
 * @param body the body's bytes
 * @param callerDisconnected completes when the caller's connection closes before the answer; never for a request to
 *     be sent
 * @param receivedAt when the request was read, in nanoseconds; its caller was still connected after that. 0 for a
 *     request to be sent
 */
public record HttpCall(
        String method,
        String path,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body,
        CompletionStage<Void> callerDisconnected,
        long receivedAt) {

    private static final byte[] NO_BODY = new byte[0];

    /** Copies the maps. */
    public HttpCall {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        query = Map.copyOf(query);
        headers = headers.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(e -> e.getKey().toLowerCase(Locale.ROOT), Map.Entry::getValue));
    }

    /**
     * Creates a request to be sent.
     *
     * @param method the method in upper case
     * @param path the decoded path, starting with a slash
     * @param query the decoded query parameters
     * @param headers the headers
     * @param body the body's bytes
     * @param callerDisconnected never completes
     */
    public HttpCall(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            byte[] body,
            CompletionStage<Void> callerDisconnected) {
        this(method, path, query, headers, body, callerDisconnected, 0);
    }

    // -- factories

    /**
     * Returns a request to be sent, without body.
     *
     * @param method the method in upper case
     * @param path the path, starting with a slash
     * @return the request
     */
    public static HttpCall of(String method, String path) {
        return of(method, path, Map.of(), NO_BODY);
    }

    /**
     * Returns a request to be sent.
     *
     * @param method the method in upper case
     * @param path the path, starting with a slash
     * @param headers the headers
     * @param body the body's bytes
     * @return the request
     */
    public static HttpCall of(String method, String path, Map<String, String> headers, byte[] body) {
        return new HttpCall(method, path, Map.of(), headers, body, new CompletableFuture<>());
    }

    // -- accessors

    /**
     * Finds a header.
     *
     * @param name the header's name in lower case
     * @return its value, or empty
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Finds a query parameter.
     *
     * @param name the parameter's name
     * @return its value, or empty
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }
}
