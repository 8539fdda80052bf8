package org.teaselhook.node.caller;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.net.http.HttpCall;

/**
 * Reads submissions from HTTP requests.
 */
public final class SubmissionReader {

    private final String defaultCustomer;
    private final JobDocument jobs;

    private SubmissionReader(String defaultCustomer, JobDocument jobs) {
        this.defaultCustomer = defaultCustomer;
        this.jobs = jobs;
    }

    /**
     * Returns a reader.
     *
     * @param defaultCustomer the customer of requests that do not specify one
     * @param maxTasksPerJob the maximum number of tasks in a job
     * @return the reader
     */
    public static SubmissionReader of(String defaultCustomer, int maxTasksPerJob) {
        return new SubmissionReader(
                Objects.requireNonNull(defaultCustomer, "defaultCustomer is null"), JobDocument.of(maxTasksPerJob));
    }

    /**
     * Reads a single request, whose body is opaque.
     *
     * @param service the service's name
     * @param kind the kind's name
     * @param call the HTTP request
     * @return the submission, or what is wrong
     */
    public ParseResult single(String service, String kind, HttpCall call) {
        Optional<Problem> problem = RequestHeaders.findProblem(call);
        if (problem.isPresent()) {
            return ParseResult.malformed(problem.get());
        }
        TaskBody task = new TaskBody(kind, call.header("content-type").orElse(""), call.body());
        return parsed(service, List.of(task), RequestHeaders.of(call, defaultCustomer), false);
    }

    /**
     * Reads a job from its JSON document.
     *
     * @param call the HTTP request
     * @return the submission, or what is wrong
     */
    public ParseResult job(HttpCall call) {
        Optional<Problem> problem = RequestHeaders.findProblem(call);
        if (problem.isPresent()) {
            return ParseResult.malformed(problem.get());
        }
        RequestHeaders headers = RequestHeaders.of(call, defaultCustomer);
        return jobs.read(
                call.body(), (service, tasks) -> parsed(service, tasks, headers, true), ParseResult::malformed);
    }

    private static ParseResult parsed(String service, List<TaskBody> tasks, RequestHeaders headers, boolean job) {
        return new ParseResult.Parsed(new SubmissionRequest(
                service, headers.customer(), tasks, headers.name(), headers.timeoutMillis(), job));
    }
}
