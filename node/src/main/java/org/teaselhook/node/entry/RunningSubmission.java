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
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private int waiting;

    RunningSubmission(SubmissionName name, long digest, String dispatchId) {
        this.name = name;
        this.digest = digest;
        this.dispatchId = dispatchId;
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

    CompletableFuture<Outcome> outcome() {
        return outcome;
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
