package org.teaselhook.bench.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.bench.failure.TicketPool;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;

/**
 * An open-loop load generator: sends requests at their planned times, regardless of earlier responses, and records
 * the outcomes. Response times count from the planned arrival, so that delays in the generator itself are included.
 */
final class LoadGenerator implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int MAX_CONNECTIONS = 4_000;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 2_000;

    private final Site site;
    private final LoadCase load;
    private final LoadRecord record;
    private final double seconds;
    private final Random random;
    private final String suffix;
    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final HttpClient client = HttpClient.create(loops, MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<TicketPool> tickets;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile long startNanos;

    LoadGenerator(Site site, LoadCase load, LoadRecord record, double seconds, long seed, String suffix) {
        this.site = site;
        this.load = load;
        this.record = record;
        this.seconds = seconds;
        this.random = new Random(seed);
        this.suffix = suffix;
        this.tickets = site.entries().stream()
                .map(entry -> new TicketPool(client, entry.http()))
                .toList();
    }

    // -- lifecycle

    void start(List<PlannedRequest> arrivals) {
        tickets.forEach(pool -> pool.take(System.nanoTime()));
        startNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        inFlight.set(arrivals.size());
        arrivals.forEach(this::schedule);
    }

    long startNanos() {
        return startNanos;
    }

    boolean isDone() {
        return inFlight.get() == 0;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.close();
        loops.close();
    }

    // -- requests

    private void schedule(PlannedRequest request) {
        long entryArrivalNanos = request.atNanos() + latencyNanos(request);
        timer.schedule(
                () -> send(request, 0), startNanos + entryArrivalNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void send(PlannedRequest request, int resends) {
        int index = random.nextInt(site.entries().size());
        EntryNode entry = site.entries().get(index);
        HttpCall call = callOf(request, resends, index);
        client.send(entry.callers().address(), call, waitMillis(request))
                .thenAccept(result -> answered(request, resends, result));
    }

    /** Returns how long the caller waits: past the request's timeout, or until all callers cancel. */
    private long waitMillis(PlannedRequest request) {
        double cancelMillis = load.cancelAllAt() * seconds * 1e3;
        double sinceStartMillis = (System.nanoTime() - startNanos) / 1e6;
        long waitMillis = request.kind().timeoutMillis() + GRACE_MILLIS;
        return sinceStartMillis < cancelMillis
                ? Math.max(1, Math.min(waitMillis, (long) (cancelMillis - sinceStartMillis)))
                : waitMillis;
    }

    private void answered(PlannedRequest request, int resends, HttpResult result) {
        CallerOutcome outcome = CallerOutcome.of(result);
        if (outcome == CallerOutcome.NOT_RUN && resends < load.resends()) {
            record.resent();
            timer.execute(() -> send(request, resends + 1));
            return;
        }
        double sinceStartMillis = (System.nanoTime() - startNanos + latencyNanos(request)) / 1e6;
        record.answered(request, outcome, sinceStartMillis, request.idealMillis(LoadRun.HOP_MILLIS));
        inFlight.decrementAndGet();
    }

    private static long latencyNanos(PlannedRequest request) {
        return (long) (request.kind().clientLatencyMillis() * 1e6);
    }

    // -- messages

    private HttpCall callOf(PlannedRequest request, int resends, int entry) {
        Map<String, String> headers = new HashMap<>();
        headers.put("teaselhook-customer", request.kind().customer());
        headers.put("teaselhook-timeout-ms", Integer.toString(request.kind().timeoutMillis()));
        if (request.kind().isJob()) {
            headers.put("idempotency-key", "load" + suffix + "-" + request.number() + "-" + resends);
            headers.put("content-type", "application/json");
            return HttpCall.of("POST", "/v1/jobs", headers, job(request));
        }
        if (!request.kind().idempotent()) {
            addSubmissionId(request, resends, entry, headers);
        }
        headers.put("content-type", "text/plain");
        String path = "/v1/services/" + site.plan().service() + "/" + kind(request);
        return HttpCall.of("POST", path, headers, body(request, 0).getBytes(StandardCharsets.UTF_8));
    }

    private void addSubmissionId(PlannedRequest request, int resends, int entry, Map<String, String> headers) {
        Optional<String> ticket = tickets.get(entry).take(System.nanoTime());
        headers.put(
                ticket.isPresent() ? "teaselhook-ticket" : "idempotency-key",
                ticket.orElse("load" + suffix + "-" + request.number() + "-" + resends));
    }

    private byte[] job(PlannedRequest request) {
        ObjectNode root = JSON.createObjectNode().put("service", site.plan().service());
        ArrayNode tasks = root.putArray("tasks");
        for (int i = 0; i < request.tasks(); i++) {
            tasks.addObject().put("kind", kind(request)).put("body", body(request, i));
        }
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private String kind(PlannedRequest request) {
        return request.kind().kind() + suffix;
    }

    private static String body(PlannedRequest request, int task) {
        return String.format(Locale.ROOT, "%.2f request %d", request.runMillis().get(task), request.number());
    }
}
