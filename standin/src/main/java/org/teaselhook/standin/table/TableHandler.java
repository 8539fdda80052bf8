package org.teaselhook.standin.table;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.table.TableJson;

/**
 * The HTTP interface of the table.
 */
final class TableHandler implements HttpHandler {

    private static final String ROWS = "/v1/rows";
    private static final String ROW_PREFIX = ROWS + "/";
    private static final int MAX_SCAN_ROWS = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FaultyTable table;

    TableHandler(FaultyTable table) {
        this.table = table;
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        try {
            return route(call);
        } catch (IOException | IllegalArgumentException e) {
            return done(problem(400, String.valueOf(e.getMessage())));
        }
    }

    private CompletionStage<HttpReply> route(HttpCall call) throws IOException {
        if (call.method().equals("GET") && call.path().startsWith(ROW_PREFIX)) {
            return table.read(call.path().substring(ROW_PREFIX.length())).thenApply(TableHandler::reply);
        }
        return switch (call.method() + " " + call.path()) {
            case "GET " + ROWS -> scan(call).thenApply(TableHandler::reply);
            case "POST /v1/transactions" ->
                table.commit(TableJson.decodeTransaction(call.body())).thenApply(TableHandler::reply);
            case "GET /v1/faults" -> done(json(200, MAPPER.writeValueAsBytes(table.faults())));
            case "PUT /v1/faults" -> done(changeFaults(call.body()));
            case "GET /v1/counters" -> done(json(200, MAPPER.writeValueAsBytes(table.counters())));
            default -> done(problem(404, "no such resource; see docs/TABLE-SERVICE.md"));
        };
    }

    private CompletionStage<TableResult> scan(HttpCall call) {
        String from = call.parameter("from").orElse("");
        String to = call.parameter("to").orElse(String.valueOf(Character.MAX_VALUE));
        int limit = call.parameter("limit").map(Integer::parseInt).orElse(MAX_SCAN_ROWS);
        if (limit < 1 || limit > MAX_SCAN_ROWS) {
            throw new IllegalArgumentException("limit must be from 1 to " + MAX_SCAN_ROWS);
        }
        return table.scan(from, to, limit);
    }

    private HttpReply changeFaults(byte[] body) throws IOException {
        table.setFaults(MAPPER.readValue(body, TableFaults.class));
        return json(200, MAPPER.writeValueAsBytes(table.faults()));
    }

    // -- replies

    private static HttpReply reply(TableResult result) {
        if (result instanceof TableResult.Found found) {
            return json(200, TableJson.encode(found.row()));
        }
        if (result instanceof TableResult.Rows rows) {
            return json(200, TableJson.encode(rows.rows()));
        }
        if (result instanceof TableResult.Conflict conflict) {
            return json(409, TableJson.encodeConflict(conflict.key()));
        }
        if (result instanceof TableResult.NotFound) {
            return problem(404, "no such row");
        }
        return result instanceof TableResult.Committed
                ? HttpReply.of(200, TableJson.CONTENT_TYPE, "{\"committed\":true}")
                : problem(503, "the table service is unavailable");
    }

    private static HttpReply json(int status, byte[] body) {
        return HttpReply.of(status, TableJson.CONTENT_TYPE, body);
    }

    private static HttpReply problem(int status, String detail) {
        byte[] body = MAPPER.createObjectNode()
                .put("status", status)
                .put("detail", detail)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        return HttpReply.of(status, "application/problem+json", body);
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
