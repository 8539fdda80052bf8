package org.teaselhook.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.wire.ForwardRequest;

/**
 * Sends requests to other entries. Confined to the control thread.
 */
interface PeerClient {

    /** Returns the incarnations of other entries that are live and not stopping. */
    List<Incarnation> live();

    /** Tells whether every incarnation that may hold claims unknown here, or copies of requests, is live. */
    boolean allKnownLive();

    /**
     * Sends a request to an incarnation of an entry.
     *
     * @param to the incarnation
     * @param request the request
     * @param timeoutMillis the time within which a reply is expected
     * @param closed completes when the caller no longer waits for the reply
     * @return the outcome, completed on the control thread; empty if that incarnation gave no usable reply
     */
    CompletionStage<Optional<Outcome>> send(
            Incarnation to, ForwardRequest request, long timeoutMillis, CompletionStage<Void> closed);
}
