package org.teaselhook.bench.failure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.bench.history.AnswerKind;
import org.teaselhook.bench.history.HistoryEvent.Answered;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/** Converts the HTTP result of a call into its {@link Answered} event. */
final class CallReader {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OUTCOME = "teaselhook-outcome";
    private static final int MAX_DETAIL_CHARS = 300;

    private CallReader() {}

    static Answered toAnswered(long call, boolean job, HttpResult result, boolean timedOut, long nowNanos) {
        if (result instanceof HttpResult.Replied replied) {
            return toAnswered(call, job, replied.reply(), nowNanos);
        }
        if (result instanceof HttpResult.NotSent notSent) {
            return new Answered(call, AnswerKind.NOT_SENT, List.of(), notSent.reason(), nowNanos);
        }
        AnswerKind kind = timedOut ? AnswerKind.TIMED_OUT : AnswerKind.CLOSED;
        return new Answered(call, kind, List.of(), result.toString(), nowNanos);
    }

    private static Answered toAnswered(long call, boolean job, HttpReply reply, long nowNanos) {
        String outcome = reply.header(OUTCOME).orElse("none");
        String detail = reply.status() + " " + reply.text();
        String truncated = detail.substring(0, Math.min(MAX_DETAIL_CHARS, detail.length()));
        return switch (outcome) {
            case "complete" -> new Answered(call, AnswerKind.COMPLETE, bodies(job, reply), "", nowNanos);
            case "not-run" -> new Answered(call, AnswerKind.NOT_RUN, List.of(), truncated, nowNanos);
            case "may-have-run" -> new Answered(call, AnswerKind.MAY_HAVE_RUN, List.of(), truncated, nowNanos);
            default -> new Answered(call, AnswerKind.UNLABELLED, List.of(), truncated, nowNanos);
        };
    }

    private static List<String> bodies(boolean job, HttpReply reply) {
        if (!job) {
            return List.of(reply.text());
        }
        List<String> bodies = new ArrayList<>();
        parse(reply)
                .path("answers")
                .forEach(node -> bodies.add(node.path("body").asText()));
        return bodies;
    }

    private static JsonNode parse(HttpReply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }
}
