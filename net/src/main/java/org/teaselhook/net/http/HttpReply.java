package org.teaselhook.net.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A complete HTTP response. The body array must not be changed.
 *
 * @param status the status code, 200 to 599
 * @param headers the headers, names in lower case; content-length is added by the server
 * @param body the body's bytes
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

    /** Copies the headers. */
    public HttpReply {
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }

    // -- factories

    /**
     * Returns a response.
     *
     * @param status the status code
     * @param contentType the media type of the body
     * @param body the body's bytes
     * @return the response
     */
    public static HttpReply of(int status, String contentType, byte[] body) {
        return new HttpReply(status, Map.of("content-type", contentType), body);
    }

    /**
     * Returns a response with a text body in UTF-8.
     *
     * @param status the status code
     * @param contentType the media type of the body
     * @param body the body
     * @return the response
     */
    public static HttpReply of(int status, String contentType, String body) {
        return of(status, contentType, body.getBytes(StandardCharsets.UTF_8));
    }

    // -- transformations

    /**
     * Sets a header.
     *
     * @param name the header's name
     * @param value its value
     * @return a new response
     */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> result = new HashMap<>(headers);
        result.put(name.toLowerCase(Locale.ROOT), value);
        return new HttpReply(status, result, body);
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
     * Returns the body as text.
     *
     * @return the body decoded from UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
