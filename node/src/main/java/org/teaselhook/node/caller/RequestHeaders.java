package org.teaselhook.node.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.http.HttpCall;

/**
 * The headers of a submission.
 *
 * @param name the caller's key or ticket, or empty
 * @param customer the customer's name
 * @param timeoutMillis the timeout that the caller requests, or empty
 */
record RequestHeaders(Optional<SubmissionName> name, String customer, OptionalLong timeoutMillis) {

    private static final String KEY = "idempotency-key";
    private static final String TICKET = "teaselhook-ticket";
    private static final String CUSTOMER = "teaselhook-customer";
    private static final String TIMEOUT = "teaselhook-timeout-ms";
    private static final Pattern VISIBLE = Pattern.compile("[!-~]{1,128}");
    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");

    /** Returns the first problem in the headers; empty if they are valid. */
    static Optional<Problem> findProblem(HttpCall call) {
        if (call.header(KEY).isPresent() && call.header(TICKET).isPresent()) {
            return badRequest("a request may have an Idempotency-Key or a Teaselhook-Ticket, not both");
        }
        return checkVisible(call, KEY)
                .or(() -> checkVisible(call, TICKET))
                .or(() -> checkVisible(call, CUSTOMER))
                .or(() -> checkTimeout(call));
    }

    /** Reads headers in which {@link #findProblem} finds none. */
    static RequestHeaders of(HttpCall call, String defaultCustomer) {
        Optional<SubmissionName> name = call.header(KEY)
                .map(SubmissionName::key)
                .or(() -> call.header(TICKET).map(SubmissionName::ticket));
        OptionalLong timeout = call.header(TIMEOUT)
                .map(text -> OptionalLong.of(Long.parseLong(text)))
                .orElse(OptionalLong.empty());
        return new RequestHeaders(name, call.header(CUSTOMER).orElse(defaultCustomer), timeout);
    }

    private static Optional<Problem> checkVisible(HttpCall call, String header) {
        return call.header(header)
                .filter(value -> !VISIBLE.matcher(value).matches())
                .flatMap(value -> badRequest("the header " + header + " must be 1 to 128 visible ASCII characters"));
    }

    private static Optional<Problem> checkTimeout(HttpCall call) {
        return call.header(TIMEOUT)
                .filter(value -> !MILLIS.matcher(value).matches() || Long.parseLong(value) == 0)
                .flatMap(value ->
                        badRequest("the header " + TIMEOUT + " must be a whole number of ms from 1 to 999999999"));
    }

    private static Optional<Problem> badRequest(String detail) {
        return Optional.of(Problem.of(ProblemKind.BAD_REQUEST, detail));
    }
}
