package org.teaselhook.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.wire.ForwardRequest;

/**
 * Calls to the other entries. Confined to the control thread.
 */
interface PeerCalls {

    /** Returns the runs of other entries that answer now and are not leaving. */
    List<Incarnation> live();

    /** Tells whether every run that may hold claims unknown here, or copies of requests, is live. */
    boolean noneLost();

    /**
     * Sends a request to a run of an entry.
     *
     * @param to the run
     * @param request the request
     * @param timeoutMillis the time within which an answer is wanted
     * @param closed completes when nobody waits for the answer any more
     * @return the answer, on the control thread; empty if that run gave none
     */
    CompletionStage<Optional<Outcome>> send(
            Incarnation to, ForwardRequest request, long timeoutMillis, CompletionStage<Void> closed);
}
