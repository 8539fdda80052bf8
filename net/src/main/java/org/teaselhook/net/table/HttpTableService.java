package org.teaselhook.net.table;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/**
 * A client of the table service over HTTP/1.1 and JSON. Each call completes within its timeout.
 */
public final class HttpTableService implements TableService {

    private static final String ROWS_PATH = "/v1/rows";
    private static final String TRANSACTIONS_PATH = "/v1/transactions";

    private final HttpClient client;
    private final InetSocketAddress address;
    private final long timeoutMillis;

    private HttpTableService(HttpClient client, InetSocketAddress address, long timeoutMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    // -- factories

    /**
     * Returns a client.
     *
     * @param client the HTTP client, which stays open
     * @param address the table service's address
     * @param timeoutMillis the timeout of each call
     * @return the client
     */
    public static HttpTableService of(HttpClient client, InetSocketAddress address, long timeoutMillis) {
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(address, "address is null");
        return new HttpTableService(client, address, timeoutMillis);
    }

    // -- calls

    @Override
    public CompletionStage<TableResult> read(String key) {
        return send(HttpCall.of("GET", ROWS_PATH + "/" + key), HttpTableService::row);
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        Map<String, String> query = Map.of("from", fromInclusive, "to", toExclusive, "limit", String.valueOf(limit));
        HttpCall call = new HttpCall("GET", ROWS_PATH, query, Map.of(), new byte[0], new CompletableFuture<>());
        return send(call, HttpTableService::rows);
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        Map<String, String> headers = Map.of("content-type", TableJson.CONTENT_TYPE);
        HttpCall call = HttpCall.of("POST", TRANSACTIONS_PATH, headers, TableJson.encode(transaction));
        return send(call, HttpTableService::commitResult);
    }

    private CompletionStage<TableResult> send(HttpCall call, Decoder decoder) {
        return client.send(address, call, timeoutMillis)
                .thenApply(result -> decode(result, decoder))
                .exceptionally(failure -> unavailable(String.valueOf(failure)));
    }

    // -- decoding

    private interface Decoder {
        TableResult decode(HttpReply reply) throws IOException;
    }

    private static TableResult decode(HttpResult result, Decoder decoder) {
        if (result instanceof HttpResult.NotSent notSent) {
            return unavailable(notSent.reason());
        }
        if (result instanceof HttpResult.Lost lost) {
            return unavailable(lost.reason());
        }
        try {
            return decoder.decode(((HttpResult.Replied) result).reply());
        } catch (IOException e) {
            return unavailable("the table service's answer is malformed: " + e.getMessage());
        }
    }

    private static TableResult row(HttpReply reply) throws IOException {
        return switch (reply.status()) {
            case 200 -> new TableResult.Found(TableJson.decodeRow(reply.body()));
            case 404 -> new TableResult.NotFound();
            default -> unexpected(reply);
        };
    }

    private static TableResult rows(HttpReply reply) throws IOException {
        return reply.status() == 200 ? new TableResult.Rows(TableJson.decodeRows(reply.body())) : unexpected(reply);
    }

    private static TableResult commitResult(HttpReply reply) throws IOException {
        return switch (reply.status()) {
            case 200 -> new TableResult.Committed();
            case 409 -> new TableResult.Conflict(TableJson.decodeConflict(reply.body()));
            default -> unexpected(reply);
        };
    }

    private static TableResult unexpected(HttpReply reply) {
        return unavailable("the table service answered with status " + reply.status());
    }

    private static TableResult unavailable(String reason) {
        return new TableResult.Unavailable(reason);
    }
}
