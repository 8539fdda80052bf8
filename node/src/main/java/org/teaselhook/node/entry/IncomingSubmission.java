package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.caller.SubmissionRequest;

/**
 * A submission received from a caller or from another entry.
 *
 * @param request the submission
 * @param digest its digest
 * @param closed completes when the caller no longer waits for the answer
 * @param receivedNanos the latest time on this entry's monotonic clock at which certainly no entry had received it yet
 * @param from the entry that forwarded it, or empty; a forwarded submission is not forwarded again
 */
record IncomingSubmission(
        SubmissionRequest request,
        long digest,
        CompletionStage<Void> closed,
        long receivedNanos,
        Optional<Incarnation> from) {

    static IncomingSubmission fromCaller(SubmissionRequest request, CompletionStage<Void> closed, long nowNanos) {
        return new IncomingSubmission(request, request.digest(), closed, nowNanos, Optional.empty());
    }

    static IncomingSubmission forwarded(
            SubmissionRequest request, CompletionStage<Void> closed, long receivedNanos, Incarnation from) {
        return new IncomingSubmission(request, request.digest(), closed, receivedNanos, Optional.of(from));
    }

    boolean isForwarded() {
        return from.isPresent();
    }

    /** Tells whether the caller no longer waits for the answer. */
    boolean isClosed() {
        return closed.toCompletableFuture().isDone();
    }
}
