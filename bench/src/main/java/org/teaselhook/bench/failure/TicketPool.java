package org.teaselhook.bench.failure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/** Tickets prefetched from one entry. Thread-safe. */
public final class TicketPool {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BATCH_SIZE = 20;
    private static final int LOW_WATERMARK = 10;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final HttpClient client;
    private final InetSocketAddress entry;
    private final Deque<FetchedTicket> tickets = new ArrayDeque<>();
    private boolean fetching;

    /**
     * Creates an empty pool; the first call of {@link #take} starts fetching tickets.
     *
     * @param client sends the requests
     * @param entry the entry's HTTP address
     */
    public TicketPool(HttpClient client, InetSocketAddress entry) {
        this.client = client;
        this.entry = entry;
    }

    /**
     * Takes a ticket, and fetches more in the background when few are left.
     *
     * @param nowNanos the current time in nanoseconds, always read from the same monotonic clock
     * @return a ticket, or empty if none is available
     */
    public synchronized Optional<String> take(long nowNanos) {
        while (!tickets.isEmpty() && nowNanos - tickets.peek().atNanos > MAX_AGE_NANOS) {
            tickets.poll();
        }
        if (tickets.size() < LOW_WATERMARK && !fetching) {
            fetching = true;
            fetch(nowNanos);
        }
        return Optional.ofNullable(tickets.poll()).map(FetchedTicket::ticket);
    }

    private void fetch(long nowNanos) {
        Map<String, String> query = Map.of("n", Integer.toString(BATCH_SIZE));
        HttpCall call = new HttpCall("POST", "/v1/tickets", query, Map.of(), new byte[0], new CompletableFuture<>());
        client.send(entry, call, TIMEOUT_MILLIS).thenAccept(result -> add(result, nowNanos));
    }

    private synchronized void add(HttpResult result, long nowNanos) {
        fetching = false;
        if (result instanceof HttpResult.Replied replied && replied.reply().status() == 200) {
            parse(replied.reply())
                    .path("tickets")
                    .forEach(node -> tickets.add(new FetchedTicket(node.asText(), nowNanos)));
        }
    }

    private static JsonNode parse(HttpReply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (IOException e) {
            throw new IllegalStateException("the response to a ticket request is not JSON", e);
        }
    }

    private record FetchedTicket(String ticket, long atNanos) {}
}
