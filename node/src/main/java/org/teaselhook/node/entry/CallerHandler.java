package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import org.teaselhook.core.claim.Tickets;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.ProblemReply;
import org.teaselhook.node.caller.OutcomeWriter;
import org.teaselhook.node.caller.ParseResult;
import org.teaselhook.node.caller.SubmissionReader;
import org.teaselhook.node.caller.SubmissionRequest;
import org.teaselhook.node.control.ControlLoop;

/**
 * Serves the callers' HTTP interface: single requests, jobs, job queries and tickets. Runs on I/O threads.
 */
final class CallerHandler implements HttpHandler {

    private static final String SERVICES = "services";
    private static final String JOBS = "jobs";
    private static final String TICKETS = "tickets";
    private static final long QUERY_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_TICKETS = 1_000;
    private static final Pattern COUNT = Pattern.compile("[0-9]{1,4}");
    private static final String UNKNOWN = "unknown";

    private final ControlLoop control;
    private final SubmissionReader reader;
    private final Admissions admissions;
    private final JobQueries queries;
    private final Tickets tickets;

    CallerHandler(
            ControlLoop control, SubmissionReader reader, Admissions admissions, JobQueries queries, Tickets tickets) {
        this.control = control;
        this.reader = reader;
        this.admissions = admissions;
        this.queries = queries;
        this.tickets = tickets;
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        String[] path = call.path().split("/", -1);
        boolean versioned = path.length >= 3 && path[1].equals("v1");
        if (!versioned) {
            return unknownPath(call);
        }
        return switch (path[2]) {
            case SERVICES -> path.length == 5 ? single(call, path[3], path[4]) : unknownPath(call);
            case JOBS -> jobs(call, path);
            case TICKETS -> path.length == 3 ? issueTickets(call) : unknownPath(call);
            default -> unknownPath(call);
        };
    }

    // -- submissions

    private CompletionStage<HttpReply> single(HttpCall call, String service, String kind) {
        return call.method().equals("POST") ? submit(call, reader.single(service, kind, call)) : wrongMethod("POST");
    }

    private CompletionStage<HttpReply> jobs(HttpCall call, String[] path) {
        if (path.length == 3) {
            return call.method().equals("POST") ? submit(call, reader.job(call)) : wrongMethod("POST");
        }
        if (path.length != 4) {
            return unknownPath(call);
        }
        return switch (call.method()) {
            case "GET" -> find(call, path[3]);
            case "DELETE" -> cancel(call, path[3]);
            default -> wrongMethod("GET, DELETE");
        };
    }

    private CompletionStage<HttpReply> submit(HttpCall call, ParseResult parsed) {
        if (parsed instanceof ParseResult.Malformed malformed) {
            return done(ProblemReply.notRun(malformed.problem()));
        }
        SubmissionRequest request = ((ParseResult.Parsed) parsed).request();
        IncomingSubmission incoming =
                IncomingSubmission.fromCaller(request, call.callerDisconnected(), control.nowNanos());
        return onControl(() -> admissions.admit(control.nowNanos(), incoming))
                .thenApply(named -> OutcomeWriter.write(named.name(), request.job(), named.outcome()));
    }

    // -- queries

    private CompletionStage<HttpReply> find(HttpCall call, String id) {
        return onControl(() -> queries.find(control.nowNanos(), id, QUERY_TIMEOUT_MILLIS, call.callerDisconnected()))
                .thenApply(found -> found)
                .toCompletableFuture()
                .completeOnTimeout(Optional.of(Outcomes.timedOut()), QUERY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .thenApply(found -> answer(id, found));
    }

    private CompletionStage<HttpReply> cancel(HttpCall call, String id) {
        return onControl(() -> queries.cancel(control.nowNanos(), id, QUERY_TIMEOUT_MILLIS, call.callerDisconnected()))
                .thenApply(found -> answer(id, found));
    }

    private static HttpReply answer(String id, Optional<Outcome> found) {
        return found.map(outcome -> OutcomeWriter.write(id, true, outcome)).orElseGet(() -> unknownJob(id));
    }

    private static HttpReply unknownJob(String id) {
        return ProblemReply.of(
                Problem.of(ProblemKind.UNKNOWN_JOB, "no submission is known under the name " + id), UNKNOWN);
    }

    // -- tickets

    private CompletionStage<HttpReply> issueTickets(HttpCall call) {
        if (!call.method().equals("POST")) {
            return wrongMethod("POST");
        }
        String count = call.parameter("n").orElse("1");
        if (!COUNT.matcher(count).matches() || Integer.parseInt(count) < 1 || Integer.parseInt(count) > MAX_TICKETS) {
            return done(ProblemReply.notRun(
                    Problem.of(ProblemKind.BAD_REQUEST, "n must be a whole number from 1 to " + MAX_TICKETS)));
        }
        String list = String.join("\",\"", tickets.issue(Integer.parseInt(count), System.currentTimeMillis()));
        String body = "{\"tickets\":[\"" + list + "\"],\"expiresInMillis\":" + tickets.lifetimeMillis() + "}";
        return done(HttpReply.of(200, "application/json", body));
    }

    // -- replies

    private interface AsyncCall<T> {
        CompletionStage<T> run();
    }

    private <T> CompletionStage<T> onControl(AsyncCall<T> asyncCall) {
        CompletableFuture<T> result = new CompletableFuture<>();
        control.execute(() -> run(asyncCall, result));
        return result;
    }

    private static <T> void run(AsyncCall<T> asyncCall, CompletableFuture<T> result) {
        try {
            asyncCall.run().whenComplete((value, failure) -> {
                if (failure == null) {
                    result.complete(value);
                } else {
                    result.completeExceptionally(failure);
                }
            });
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
            throw e;
        }
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletionStage<HttpReply> unknownPath(HttpCall call) {
        return done(ProblemReply.notRun(Problem.of(
                ProblemKind.BAD_REQUEST,
                "no such path: " + call.path()
                        + "; paths are /v1/services/{service}/{kind}, /v1/jobs, /v1/jobs/{id}, /v1/tickets")));
    }

    private static CompletionStage<HttpReply> wrongMethod(String allowed) {
        return done(ProblemReply.notRun(Problem.of(ProblemKind.BAD_REQUEST, "the path allows only " + allowed))
                .withHeader("allow", allowed));
    }
}
