package org.teaselhook.bench.failure;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.bench.history.AnswerKind;
import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryEvent.Answered;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpResult;

/** Sends submissions as their plans say, sends them again after failures, and records every call. */
final class Callers {

    private static final long GIVE_UP_MILLIS = 6_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long timeoutMillis;
    private final Site site;
    private final Balancer balancer;
    private final HistoryRecorder recorder;
    private final Map<EntryNode, TicketPool> tickets;
    private final AtomicLong calls = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();

    Callers(Site site, Balancer balancer, HistoryRecorder recorder, long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        this.site = site;
        this.balancer = balancer;
        this.recorder = recorder;
        this.tickets = site.entries().stream()
                .collect(Collectors.toMap(
                        Function.identity(),
                        entry -> new TicketPool(site.client(), entry.callers().address())));
    }

    // -- accessors

    int open() {
        return open.get();
    }

    // -- submissions

    /** Sends a submission; further calls follow by themselves. */
    void submit(PlannedSubmission plan) {
        Optional<String> ticket = plan.ticket() ? takeTicket(plan) : Optional.empty();
        Named named = new Named(plan, ticket);
        boolean twice = plan.twice() && plan.maxCalls() > 1;
        call(named, 0, !twice);
        if (twice) {
            call(named, 1, true);
        }
    }

    private Optional<String> takeTicket(PlannedSubmission plan) {
        EntryNode entry = balancer.choose(plan.entries().get(0));
        return tickets.get(entry).take(recorder.nowNanos());
    }

    private void call(Named named, int attempt, boolean followed) {
        PlannedSubmission plan = named.plan;
        EntryNode entry = balancer.choose(plan.entries().get(attempt));
        long number = calls.incrementAndGet();
        open.incrementAndGet();
        long sentNanos = recorder.nowNanos();
        recorder.record(new HistoryEvent.Submitted(
                number,
                named.name(),
                plan.job(),
                plan.idempotent(),
                plan.bodies(),
                entry.process().name(),
                TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                sentNanos));
        site.client()
                .send(entry.callers().address(), named.http(timeoutMillis), timeoutMillis + GIVE_UP_MILLIS)
                .thenAccept(result -> {
                    Answered answer = answered(number, plan.job(), result, sentNanos);
                    recorder.record(answer);
                    if (followed && isCalledAgain(plan, attempt, answer)) {
                        later(plan.waitsMillis().get(attempt), () -> call(named, attempt + 1, true));
                    }
                    open.decrementAndGet();
                });
    }

    private Answered answered(long number, boolean job, HttpResult result, long sentNanos) {
        long nowNanos = recorder.nowNanos();
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
        return CallReader.read(number, job, result, waitedMillis >= timeoutMillis + GIVE_UP_MILLIS, nowNanos);
    }

    private static boolean isCalledAgain(PlannedSubmission plan, int attempt, Answered answer) {
        boolean wanted = answer.kind() != AnswerKind.COMPLETE || plan.again();
        return wanted && attempt + 1 < plan.maxCalls();
    }

    private void later(int millis, Runnable action) {
        open.incrementAndGet();
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(() -> {
            action.run();
            open.decrementAndGet();
        });
    }

    /** A submission and the ticket it got, if any. */
    private record Named(PlannedSubmission plan, Optional<String> ticket) {

        String name() {
            return ticket.orElse(plan.key());
        }

        HttpCall http(long timeoutMillis) {
            Map<String, String> headers = new HashMap<>();
            headers.put(ticket.isPresent() ? "teaselhook-ticket" : "idempotency-key", name());
            headers.put("teaselhook-timeout-ms", Long.toString(timeoutMillis));
            if (!plan.job()) {
                byte[] body = plan.bodies().get(0).getBytes(StandardCharsets.UTF_8);
                headers.put("content-type", "text/plain");
                return HttpCall.of("POST", "/v1/services/" + SitePlan.SERVICE + "/" + kind(), headers, body);
            }
            headers.put("content-type", "application/json");
            return HttpCall.of("POST", "/v1/jobs", headers, document());
        }

        private byte[] document() {
            ObjectNode root = JSON.createObjectNode().put("service", SitePlan.SERVICE);
            ArrayNode tasks = root.putArray("tasks");
            plan.bodies().forEach(body -> tasks.addObject().put("kind", kind()).put("body", body));
            return root.toString().getBytes(StandardCharsets.UTF_8);
        }

        private String kind() {
            return plan.idempotent() ? SitePlan.IDEMPOTENT_KIND : SitePlan.ONCE_KIND;
        }
    }
}
