package org.teaselhook.node.entry;

import java.util.concurrent.CompletableFuture;

import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.node.caller.SubmissionName;

/**
 * A submission that this entry holds and has not answered. Confined to the control thread, but for the future.
 */
final class RunningSubmission {

    private final SubmissionName name;
    private final long digest;
    private final String dispatchId;
    private final Hold hold;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private int waiting;

    RunningSubmission(SubmissionName name, long digest, String dispatchId, Hold hold) {
        this.name = name;
        this.digest = digest;
        this.dispatchId = dispatchId;
        this.hold = hold;
    }

    SubmissionName name() {
        return name;
    }

    long digest() {
        return digest;
    }

    /** Returns the id under which the dispatcher knows it. */
    String dispatchId() {
        return dispatchId;
    }

    /** Returns what is given back if nothing of it runs. */
    Hold hold() {
        return hold;
    }

    CompletableFuture<Outcome> outcome() {
        return outcome;
    }

    boolean isAwaited() {
        return waiting > 0;
    }

    void join() {
        waiting++;
    }

    /** One of those who wait has gone away; true if nobody waits any more. */
    boolean leave() {
        waiting--;
        return waiting == 0;
    }
}
