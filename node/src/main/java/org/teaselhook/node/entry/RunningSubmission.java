package org.teaselhook.node.entry;

import java.util.concurrent.CompletableFuture;

import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.node.caller.SubmissionName;

/**
 * A submission in progress at this entry. Confined to the control thread, except for the future.
 */
final class RunningSubmission {

    private final SubmissionName name;
    private final long digest;
    private final String dispatchId;
    private final Reservation reservation;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private int waiters;

    RunningSubmission(SubmissionName name, long digest, String dispatchId, Reservation reservation) {
        this.name = name;
        this.digest = digest;
        this.dispatchId = dispatchId;
        this.reservation = reservation;
    }

    SubmissionName name() {
        return name;
    }

    long digest() {
        return digest;
    }

    /** Returns the dispatcher's id of the submission. */
    String dispatchId() {
        return dispatchId;
    }

    /** Returns the reservation that is released if nothing of the submission runs. */
    Reservation reservation() {
        return reservation;
    }

    CompletableFuture<Outcome> outcome() {
        return outcome;
    }

    boolean hasWaiters() {
        return waiters > 0;
    }

    void addWaiter() {
        waiters++;
    }

    /** Removes a waiting caller; returns true if it was the last one. */
    boolean removeWaiter() {
        waiters--;
        return waiters == 0;
    }
}
