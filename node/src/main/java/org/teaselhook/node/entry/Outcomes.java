package org.teaselhook.node.entry;

import java.time.Duration;

import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Outcomes that admission produces without dispatching a submission.
 */
final class Outcomes {

    private Outcomes() {}

    static Outcome bodyMismatch() {
        return Outcome.notRun(Problem.of(
                ProblemKind.KEY_REUSED, "the same key or ticket was used with another service, kind or body"));
    }

    static Outcome answerUnavailable() {
        return Outcome.mayHaveRun(Problem.of(
                ProblemKind.HOLDER_LOST, "the request was accepted before, and its answer is no longer available"));
    }

    static Outcome holderLost(Object holder) {
        return Outcome.mayHaveRun(Problem.of(
                ProblemKind.HOLDER_LOST,
                "the request was accepted before by an entry that does not respond: " + holder));
    }

    static Outcome callerDisconnected() {
        return Outcome.notRun(Problem.of(ProblemKind.CANCELLED, "the caller has disconnected"));
    }

    static Outcome undecided() {
        return Outcome.mayHaveRun(
                Problem.of(ProblemKind.UNDECIDED, "a copy of the request was received here and may still start"));
    }

    static Outcome timedOut() {
        return Outcome.mayHaveRun(Problem.of(
                ProblemKind.TIMED_OUT, "the request was still in progress when the caller's timeout expired"));
    }

    static Problem claimsUnavailable(Duration retryAfter) {
        return Problem.of(
                ProblemKind.CLAIMS_UNAVAILABLE,
                "the table service does not respond; requests with tickets are still accepted",
                retryAfter);
    }

    static Outcome badTicket(String detail) {
        return Outcome.notRun(Problem.of(ProblemKind.BAD_TICKET, detail));
    }
}
