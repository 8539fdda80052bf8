package org.teaselhook.net.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Responses that carry a problem document (RFC 9457).
 */
public final class ProblemReply {

    /** The response header with the outcome. */
    public static final String OUTCOME_HEADER = "teaselhook-outcome";

    /** The response header with the delay before a retry, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS_HEADER = "teaselhook-retry-after-ms";

    /** The outcome of work that has not started and will not start. */
    public static final String NOT_RUN = "not-run";

    /** The outcome of failed work that may have started. */
    public static final String MAY_HAVE_RUN = "may-have-run";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemReply() {}

    /**
     * Returns the response for work that has not started and will not start.
     *
     * @param problem the problem
     * @return the response
     */
    public static HttpReply notRun(Problem problem) {
        return of(problem, NOT_RUN);
    }

    /**
     * Returns the response for failed work that may have started.
     *
     * @param problem the problem
     * @return the response
     */
    public static HttpReply mayHaveRun(Problem problem) {
        return of(problem, MAY_HAVE_RUN);
    }

    /**
     * Returns the response for a problem.
     *
     * @param problem the problem
     * @param outcome the value of the outcome header and member
     * @return the response, with Retry-After if the problem has a delay
     */
    public static HttpReply of(Problem problem, String outcome) {
        ProblemKind kind = problem.kind();
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("type", kind.type());
        document.put("title", kind.title());
        document.put("status", kind.httpStatus());
        document.put("detail", problem.detail());
        document.put("remedy", kind.remedy());
        document.put("outcome", outcome);
        HttpReply reply = HttpReply.of(kind.httpStatus(), "application/problem+json", json(document))
                .withHeader(OUTCOME_HEADER, outcome);
        return problem.retryAfter().isZero() ? reply : withRetryAfter(reply, problem.retryAfter());
    }

    private static HttpReply withRetryAfter(HttpReply reply, Duration delay) {
        long wholeSeconds = Math.max(1, (delay.toMillis() + 999) / 1000);
        return reply.withHeader("retry-after", Long.toString(wholeSeconds))
                .withHeader(RETRY_AFTER_MILLIS_HEADER, Long.toString(delay.toMillis()));
    }

    private static String json(Map<String, Object> document) {
        try {
            return JSON.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a problem document", e);
        }
    }
}
