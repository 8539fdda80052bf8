package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A run that has not certainly ended. Its resources count as used until then.
 */
final class Run {

    /** Failed stop calls that count as a failure of the worker: a single one may have been lost in transit. */
    private static final int FAILED_STOPS_LIMIT = 2;

    /** The state of a run as this agent knows it. */
    enum State {
        /** The start call is in flight. */
        STARTING,
        /** The worker has accepted the run. */
        RUNNING,
        /** A stop call is in flight, or its retry is scheduled. */
        STOPPING,
        /** The worker has confirmed the stop but has not reported the end yet. */
        STOPPED
    }

    private final RunRequest request;
    private final long orderedAt;
    private RunId id;
    private State state = State.STARTING;
    private boolean begun;
    private boolean stopRequested;
    private int startCalls;
    private int stopCalls;
    private int failedStops;

    /** When the order was withdrawn, {@link Long#MAX_VALUE} if it was not. */
    private long withdrawnAt = Long.MAX_VALUE;

    private long confirmedAt;
    private long stopRetryAt = Long.MAX_VALUE;
    private long checkAt = Long.MAX_VALUE;
    private OptionalLong unlistedSince = OptionalLong.empty();
    private boolean listed;
    private boolean incarnationEnded;
    private int percent;
    private long progressAt;

    Run(RunRequest request, RunId id, long orderedAt) {
        this.request = request;
        this.id = id;
        this.orderedAt = orderedAt;
    }

    // -- accessors

    RunRequest request() {
        return request;
    }

    RunId id() {
        return id;
    }

    State state() {
        return state;
    }

    long orderedAt() {
        return orderedAt;
    }

    /** Returns the forecast from the last reported progress; empty while it is too early for one. */
    Optional<RunForecast> forecast() {
        return begun ? RunForecast.of(progressAt - orderedAt, percent) : Optional.empty();
    }

    /** Whether the worker is known to have begun the run. */
    boolean hasBegun() {
        return begun;
    }

    boolean isStopRequested() {
        return stopRequested;
    }

    int startCalls() {
        return startCalls;
    }

    int stopCalls() {
        return stopCalls;
    }

    /** Whether the entry withdrew the order, or lost contact, or the task was ordered again. */
    boolean isWithdrawn() {
        return withdrawnAt != Long.MAX_VALUE;
    }

    /**
     * Returns when the order was withdrawn if the run may go on, or begin, nevertheless; {@link Long#MAX_VALUE}
     * otherwise. A run whose stop is confirmed ends within the longest time of a stop, unless it is listed on.
     */
    long unsettledWithdrawalAt() {
        return state == State.STOPPED && !listed ? Long.MAX_VALUE : withdrawnAt;
    }

    /** Whether the order was withdrawn, and several stop calls were not answered or had no effect. */
    boolean isStopOverdue() {
        return failedStops >= FAILED_STOPS_LIMIT && unsettledWithdrawalAt() != Long.MAX_VALUE;
    }

    /** Returns the time since the order was withdrawn, in nanoseconds; 0 if it was not. */
    long nanosSinceWithdrawal(long nowNanos) {
        return isWithdrawn() ? nowNanos - withdrawnAt : 0;
    }

    /** Returns when the stop call is due to be retried, or {@link Long#MAX_VALUE} if no retry is scheduled. */
    long stopRetryDueAt() {
        return state == State.STOPPING ? stopRetryAt : Long.MAX_VALUE;
    }

    boolean isStopRetryDue(long nowNanos) {
        return stopRetryDueAt() <= nowNanos;
    }

    /** Returns when a list is due that tells whether a stopped run has ended, {@link Long#MAX_VALUE} if none is. */
    long checkDueAt() {
        return state == State.STOPPED ? checkAt : Long.MAX_VALUE;
    }

    /**
     * Whether the run has ended if it is missing from a list that was requested at the given time, which has no end of
     * it either. A run that is being stopped need not be listed.
     */
    boolean hasEndedIfUnlisted(long requestedAt) {
        return switch (state) {
            case STARTING, STOPPING -> false;
            case RUNNING -> incarnationEnded && isMissing(requestedAt);
            case STOPPED -> requestedAt - endedIfUnlistedAt() >= 0;
        };
    }

    /** Whether the run must be stopped, for the first time or again, if it is in a list requested at the given time. */
    boolean mustStopIfListed(long requestedAt) {
        return stopRequested && (state == State.RUNNING || state == State.STOPPED && isStopOver(requestedAt));
    }

    /** Returns from when on a list without the stopped run tells that it has ended, or never began. */
    private long endedIfUnlistedAt() {
        return begun ? LeaseTimes.forgottenBy(confirmedAt) : LeaseTimes.endedBy(confirmedAt);
    }

    private boolean isStopOver(long requestedAt) {
        return requestedAt - LeaseTimes.endedBy(confirmedAt) >= 0;
    }

    /** Whether a run that should go on is missing not only from a list that may be late, but also from later ones. */
    boolean isMissing(long requestedAt) {
        return state == State.RUNNING
                && unlistedSince.isPresent()
                && requestedAt - LeaseTimes.listedBy(unlistedSince.getAsLong()) >= 0;
    }

    /** Returns the evidence that a list without the run is, if the run has ended then. */
    EndEvidence evidenceIfUnlisted() {
        return state == State.STOPPED ? EndEvidence.UNLISTED_AFTER_STOP : EndEvidence.UNLISTED_BY_NEXT_INCARNATION;
    }

    /** Returns when the start or the stop was confirmed, whichever is later. */
    long confirmedAt() {
        return confirmedAt;
    }

    // -- updates

    void recordProgress(long nowNanos, int percentDone) {
        markBegun(nowNanos);
        listed = true;
        incarnationEnded = false;
        unlistedSince = OptionalLong.empty();
        percent = percentDone;
        progressAt = nowNanos;
    }

    /** Records a list, requested at the given time, that does not contain the run. */
    void recordUnlisted(long nowNanos, long requestedAt) {
        listed = false;
        if (state == State.RUNNING && requestedAt - confirmedAt > 0 && unlistedSince.isEmpty()) {
            unlistedSince = OptionalLong.of(nowNanos);
        }
    }

    void recordStartCall(RunId withId) {
        id = withId;
        startCalls++;
    }

    void markBegun(long nowNanos) {
        begun = true;
        if (state == State.STARTING) {
            state = State.RUNNING;
            confirmedAt = nowNanos;
        }
    }

    /**
     * Records the end of the incarnation of the worker that the start call was sent to; the run may have begun there.
     * It is over once several lists of the next incarnation lack it; if it is listed, it is to be stopped.
     */
    void incarnationEnded(long nowNanos) {
        begun = true;
        stopRequested = true;
        state = State.RUNNING;
        incarnationEnded = true;
        unlistedSince = OptionalLong.empty();
        // The next incarnation is polled at the same time, which must count as later.
        confirmedAt = nowNanos - 1;
    }

    /** Records that the run must end, as its task may soon run elsewhere. */
    void withdraw(long atNanos) {
        stopRequested = true;
        withdrawnAt = Math.min(withdrawnAt, atNanos);
    }

    void markStopping() {
        stopRequested = true;
        failedStops += state == State.STOPPED ? 1 : 0;
        state = State.STOPPING;
        stopCalls++;
        stopRetryAt = Long.MAX_VALUE;
    }

    /** Records an unanswered stop call, which is repeated at the given time. */
    void recordUnansweredStop(long retryAt) {
        failedStops++;
        stopRetryAt = retryAt;
    }

    void markStopped(long nowNanos) {
        state = State.STOPPED;
        confirmedAt = nowNanos;
        checkAt = endedIfUnlistedAt();
    }

    void scheduleCheck(long atNanos) {
        checkAt = atNanos;
    }
}
