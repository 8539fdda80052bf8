package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/** A client of the admin interface of one entry. Every method blocks until the response arrives. */
public final class AdminClient {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int STATUS_OK = 200;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient client;
    private final InetSocketAddress entry;

    private AdminClient(HttpClient client, InetSocketAddress entry) {
        this.client = client;
        this.entry = entry;
    }

    // -- factories

    /**
     * Returns a client for one entry.
     *
     * @param client sends the requests
     * @param entry the entry's HTTP address
     * @return the client
     */
    public static AdminClient of(HttpClient client, InetSocketAddress entry) {
        return new AdminClient(client, entry);
    }

    // -- changes

    /**
     * Replaces the current rules file.
     *
     * @param text the whole text
     * @return the version of the accepted file
     * @throws IllegalStateException if it was not accepted
     */
    public long applyRules(String text) {
        HttpReply current = send(HttpCall.of("GET", "/v1/admin/rules"))
                .orElseThrow(() -> new IllegalStateException("no answer to GET rules from " + entry));
        Map<String, String> headers = Map.of(
                "teaselhook-operation",
                "rules-" + UUID.randomUUID(),
                "teaselhook-author",
                "harness",
                "teaselhook-expected-version",
                current.header("teaselhook-version").orElse("0"));
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        ChangeResult result = change(HttpCall.of("PUT", "/v1/admin/rules", headers, body));
        return result.version().orElseThrow(() -> new IllegalStateException("rules refused: " + result.detail()));
    }

    /**
     * Takes an availability zone out of service or brings it back.
     *
     * @param zone the zone
     * @param out true to take it out
     * @param operation the operation id, the same for each attempt at the same change
     * @return the result
     */
    public ChangeResult changeZone(String zone, boolean out, String operation) {
        Map<String, String> headers = Map.of("teaselhook-operation", operation, "teaselhook-author", "harness");
        String path = "/v1/admin/zones/" + zone + (out ? "/out" : "/in");
        return change(HttpCall.of("POST", path, headers, NO_BODY));
    }

    /**
     * Replaces the rules file if the expected version is still current.
     *
     * @param expected the version that the text is based on
     * @param text the whole text
     * @param operation the operation id, the same for each attempt at the same change
     * @return the result
     */
    public ChangeResult replaceRules(String expected, String text, String operation) {
        Map<String, String> headers = Map.of(
                "teaselhook-operation", operation,
                "teaselhook-author", "harness",
                "teaselhook-expected-version", expected);
        return change(HttpCall.of("PUT", "/v1/admin/rules", headers, text.getBytes(StandardCharsets.UTF_8)));
    }

    private ChangeResult change(HttpCall call) {
        Optional<HttpReply> reply = send(call);
        if (reply.filter(r -> r.status() == STATUS_OK).isEmpty()) {
            return new ChangeResult(
                    OptionalLong.empty(), false, reply.map(HttpReply::text).orElse("no answer"));
        }
        JsonNode body = parse(reply.get());
        OptionalLong version = OptionalLong.of(body.path("version").asLong());
        return new ChangeResult(version, body.path("changed").asBoolean(), body.toString());
    }

    // -- reads

    /**
     * Reads the current rules file.
     *
     * @return the response with the text and its version's header, or empty if it was not answered with status 200
     */
    public Optional<HttpReply> rules() {
        return send(HttpCall.of("GET", "/v1/admin/rules")).filter(reply -> reply.status() == STATUS_OK);
    }

    /**
     * Returns the configuration version that the entry holds.
     *
     * @return the version, or empty if it was not answered with status 200
     */
    public OptionalLong version() {
        return readJson("/v1/admin/status", Map.of())
                .map(body -> OptionalLong.of(body.path("version").asLong()))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns the configuration changes stored in the table service.
     *
     * @param limit the maximum number of changes
     * @return the newest changes, oldest first; empty if they could not be read
     */
    public List<StoredChange> history(int limit) {
        List<StoredChange> changes = new ArrayList<>();
        readJson("/v1/admin/rules/history", Map.of("limit", Integer.toString(limit)))
                .ifPresent(body -> body.path("versions").forEach(node -> changes.add(StoredChange.of(node))));
        return changes;
    }

    /**
     * Reads a JSON document from the entry.
     *
     * @param path the path
     * @param query the query parameters
     * @return the document, or empty if it was not answered with status 200
     */
    public Optional<JsonNode> readJson(String path, Map<String, String> query) {
        CompletableFuture<Void> neverClosed = new CompletableFuture<>();
        return send(new HttpCall("GET", path, query, Map.of(), NO_BODY, neverClosed))
                .filter(reply -> reply.status() == STATUS_OK)
                .map(AdminClient::parse);
    }

    private Optional<HttpReply> send(HttpCall call) {
        HttpResult result =
                client.send(entry, call, TIMEOUT_MILLIS).toCompletableFuture().join();
        return result instanceof HttpResult.Replied replied ? Optional.of(replied.reply()) : Optional.empty();
    }

    private static JsonNode parse(HttpReply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
