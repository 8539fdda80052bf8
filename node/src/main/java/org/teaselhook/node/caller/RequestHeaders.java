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
 * @param timeoutMillis how long the caller waits, or empty
 */
record RequestHeaders(Optional<SubmissionName> name, String customer, OptionalLong timeoutMillis) {

    private static final String KEY = "idempotency-key";
    private static final String TICKET = "teaselhook-ticket";
    private static final String CUSTOMER = "teaselhook-customer";
    private static final String TIMEOUT = "teaselhook-timeout-ms";
    private static final Pattern VISIBLE = Pattern.compile("[!-~]{1,128}");
    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");

    /** Finds the first fault in the headers. */
    static Optional<Problem> fault(HttpCall call) {
        if (call.header(KEY).isPresent() && call.header(TICKET).isPresent()) {
            return bad("a request has an Idempotency-Key or a Teaselhook-Ticket, not both");
        }
        return visibleFault(call, KEY)
                .or(() -> visibleFault(call, TICKET))
                .or(() -> visibleFault(call, CUSTOMER))
                .or(() -> timeoutFault(call));
    }

    /** Reads headers in which {@link #fault} finds nothing. */
    static RequestHeaders of(HttpCall call, String defaultCustomer) {
        Optional<SubmissionName> name = call.header(KEY)
                .map(SubmissionName::key)
                .or(() -> call.header(TICKET).map(SubmissionName::ticket));
        OptionalLong timeout = call.header(TIMEOUT)
                .map(text -> OptionalLong.of(Long.parseLong(text)))
                .orElse(OptionalLong.empty());
        return new RequestHeaders(name, call.header(CUSTOMER).orElse(defaultCustomer), timeout);
    }

    private static Optional<Problem> visibleFault(HttpCall call, String header) {
        return call.header(header)
                .filter(value -> !VISIBLE.matcher(value).matches())
                .flatMap(value -> bad("the header " + header + " must be 1 to 128 visible ASCII characters"));
    }

    private static Optional<Problem> timeoutFault(HttpCall call) {
        return call.header(TIMEOUT)
                .filter(value -> !MILLIS.matcher(value).matches() || Long.parseLong(value) == 0)
                .flatMap(value -> bad("the header " + TIMEOUT + " must be a whole number of ms from 1 to 999999999"));
    }

    private static Optional<Problem> bad(String detail) {
        return Optional.of(Problem.of(ProblemKind.BAD_REQUEST, detail));
    }
}
