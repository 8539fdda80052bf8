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

/** Sends planned submissions, retries them after failures, and records every call. */
final class Callers {

    private static final long CLIENT_WAIT_MARGIN_MILLIS = 6_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long timeoutMillis;
    private final Site site;
    private final Balancer balancer;
    private final HistoryRecorder recorder;
    private final Map<EntryNode, TicketPool> tickets;
    private final AtomicLong calls = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();

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

    int inFlight() {
        return inFlight.get();
    }

    // -- submissions

    /** Sends a submission; its retries are scheduled automatically. */
    void submit(PlannedSubmission plan) {
        Optional<String> ticket = plan.ticket() ? takeTicket(plan) : Optional.empty();
        IdentifiedSubmission submission = new IdentifiedSubmission(plan, ticket);
        boolean duplicated = plan.duplicated() && plan.maxCalls() > 1;
        call(submission, 0, !duplicated);
        if (duplicated) {
            call(submission, 1, true);
        }
    }

    private Optional<String> takeTicket(PlannedSubmission plan) {
        EntryNode entry = balancer.choose(plan.entries().get(0));
        return tickets.get(entry).take(recorder.nowNanos());
    }

    private void call(IdentifiedSubmission submission, int attempt, boolean retriesFollow) {
        PlannedSubmission plan = submission.plan;
        EntryNode entry = balancer.choose(plan.entries().get(attempt));
        long number = calls.incrementAndGet();
        inFlight.incrementAndGet();
        long sentNanos = recorder.nowNanos();
        recorder.record(new HistoryEvent.Submitted(
                number,
                submission.id(),
                plan.job(),
                plan.idempotent(),
                plan.bodies(),
                entry.process().name(),
                TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                sentNanos));
        site.client()
                .send(
                        entry.callers().address(),
                        submission.http(timeoutMillis),
                        timeoutMillis + CLIENT_WAIT_MARGIN_MILLIS)
                .thenAccept(result -> {
                    Answered answer = answered(number, plan.job(), result, sentNanos);
                    recorder.record(answer);
                    if (retriesFollow && shouldRetry(plan, attempt, answer)) {
                        callLater(plan.retryDelaysMillis().get(attempt), () -> call(submission, attempt + 1, true));
                    }
                    inFlight.decrementAndGet();
                });
    }

    private Answered answered(long number, boolean job, HttpResult result, long sentNanos) {
        long nowNanos = recorder.nowNanos();
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
        return CallReader.toAnswered(
                number, job, result, waitedMillis >= timeoutMillis + CLIENT_WAIT_MARGIN_MILLIS, nowNanos);
    }

    private static boolean shouldRetry(PlannedSubmission plan, int attempt, Answered answer) {
        boolean retryWanted = answer.kind() != AnswerKind.COMPLETE || plan.resubmitted();
        return retryWanted && attempt + 1 < plan.maxCalls();
    }

    private void callLater(int millis, Runnable action) {
        inFlight.incrementAndGet();
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(() -> {
            action.run();
            inFlight.decrementAndGet();
        });
    }

    /** A submission and its ticket, if it has one. */
    private record IdentifiedSubmission(PlannedSubmission plan, Optional<String> ticket) {

        String id() {
            return ticket.orElse(plan.key());
        }

        HttpCall http(long timeoutMillis) {
            Map<String, String> headers = new HashMap<>();
            headers.put(ticket.isPresent() ? "teaselhook-ticket" : "idempotency-key", id());
            headers.put("teaselhook-timeout-ms", Long.toString(timeoutMillis));
            if (!plan.job()) {
                byte[] body = plan.bodies().get(0).getBytes(StandardCharsets.UTF_8);
                headers.put("content-type", "text/plain");
                return HttpCall.of("POST", "/v1/services/" + SitePlan.SERVICE + "/" + kind(), headers, body);
            }
            headers.put("content-type", "application/json");
            return HttpCall.of("POST", "/v1/jobs", headers, jobDocument());
        }

        private byte[] jobDocument() {
            ObjectNode root = JSON.createObjectNode().put("service", SitePlan.SERVICE);
            ArrayNode tasks = root.putArray("tasks");
            plan.bodies().forEach(body -> tasks.addObject().put("kind", kind()).put("body", body));
            return root.toString().getBytes(StandardCharsets.UTF_8);
        }

        private String kind() {
            return plan.idempotent() ? SitePlan.IDEMPOTENT_KIND : SitePlan.NON_IDEMPOTENT_KIND;
        }
    }
}
