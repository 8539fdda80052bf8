package org.teaselhook.node.entry;

import java.time.Duration;

import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Outcomes that admission itself gives.
 */
final class Outcomes {

    private Outcomes() {}

    static Outcome otherBody() {
        return Outcome.notRun(Problem.of(
                ProblemKind.KEY_REUSED, "the same key or ticket was used with another service, kind or body"));
    }

    static Outcome answerNotKept() {
        return Outcome.mayHaveRun(
                Problem.of(ProblemKind.HOLDER_LOST, "the request was taken before, and its answer is no longer kept"));
    }

    static Outcome holderLost(Object holder) {
        return Outcome.mayHaveRun(Problem.of(
                ProblemKind.HOLDER_LOST, "the request was taken before by an entry that does not answer: " + holder));
    }

    static Outcome callerGone() {
        return Outcome.notRun(Problem.of(ProblemKind.CANCELLED, "the caller has gone away"));
    }

    static Outcome undecided() {
        return Outcome.mayHaveRun(Problem.of(ProblemKind.UNDECIDED, "a copy of the request was received here"));
    }

    static Outcome timedOut() {
        return Outcome.mayHaveRun(
                Problem.of(ProblemKind.TIMED_OUT, "the request is still in progress at the end of the caller's time"));
    }

    static Problem claimsUnavailable(Duration retryAfter) {
        return Problem.of(
                ProblemKind.CLAIMS_UNAVAILABLE,
                "the table service does not answer; requests under tickets go on",
                retryAfter);
    }

    static Outcome badTicket(String detail) {
        return Outcome.notRun(Problem.of(ProblemKind.BAD_TICKET, detail));
    }
}
