package org.teaselhook.node.entry;

import java.util.concurrent.CompletionStage;

import org.teaselhook.node.caller.SubmissionRequest;

/**
 * A submission as it came in, from a caller or from another entry.
 *
 * @param request the submission
 * @param digest its digest
 * @param closed completes when whoever waits for the answer has gone away
 * @param forwarded true if another entry sent it, which then is not passed on again
 */
record Arrival(SubmissionRequest request, long digest, CompletionStage<Void> closed, boolean forwarded) {

    static Arrival of(SubmissionRequest request, CompletionStage<Void> closed, boolean forwarded) {
        return new Arrival(request, request.digest(), closed, forwarded);
    }
}
