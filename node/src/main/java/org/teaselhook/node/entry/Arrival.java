package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.caller.SubmissionRequest;

/**
 * A submission as it came in, from a caller or from another entry.
 *
 * @param request the submission
 * @param digest its digest
 * @param closed completes when whoever waits for the answer has gone away
 * @param receivedNanos a time on this entry's monotonic clock by which no entry had received it yet, as late as is
 *     certain
 * @param from the entry that passed it on, if any; it is then not passed on again
 */
record Arrival(
        SubmissionRequest request,
        long digest,
        CompletionStage<Void> closed,
        long receivedNanos,
        Optional<Incarnation> from) {

    static Arrival fromCaller(SubmissionRequest request, CompletionStage<Void> closed, long nowNanos) {
        return new Arrival(request, request.digest(), closed, nowNanos, Optional.empty());
    }

    static Arrival passedOn(
            SubmissionRequest request, CompletionStage<Void> closed, long receivedNanos, Incarnation from) {
        return new Arrival(request, request.digest(), closed, receivedNanos, Optional.of(from));
    }

    boolean isPassedOn() {
        return from.isPresent();
    }

    /** Tells whether nobody waits for the answer any more. */
    boolean isClosed() {
        return closed.toCompletableFuture().isDone();
    }
}
