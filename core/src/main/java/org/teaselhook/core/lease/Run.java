package org.teaselhook.core.lease;

import java.util.Optional;

/**
 * One run that has not certainly ended: its amounts count as used.
 */
final class Run {

    /** How far a run has come. */
    enum State {
        /** The start was sent, and its answer is awaited. */
        STARTING,
        /** The worker has it. */
        RUNNING,
        /** A stop was sent, and its answer is awaited. */
        STOPPING,
        /** The stop was answered; the end is still to be listed. */
        STOPPED
    }

    private final RunRequest request;
    private final long orderedAt;
    private RunId id;
    private State state = State.STARTING;
    private boolean begun;
    private boolean stopWanted;
    private int startCalls;
    private long settledAt;
    private long stopAgainAt = Long.MAX_VALUE;
    private int percent;
    private long seenAt;

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

    /** Returns what its progress foretells, as of the last list; empty while that is too early to say. */
    Optional<RunForecast> forecast() {
        return begun ? RunForecast.of(seenAt - orderedAt, percent) : Optional.empty();
    }

    /** Whether the worker is known to have begun it. */
    boolean hasBegun() {
        return begun;
    }

    boolean isStopWanted() {
        return stopWanted;
    }

    int startCalls() {
        return startCalls;
    }

    /** When the stop is to be sent again, {@link Long#MAX_VALUE} if it is not. */
    long stopDueAt() {
        return state == State.STOPPING ? stopAgainAt : Long.MAX_VALUE;
    }

    boolean isStopDue(long nowNanos) {
        return stopDueAt() <= nowNanos;
    }

    /** Whether a list that was asked for after the given instant, and lacks the run, shows that it is over. */
    boolean isOverIfMissing(long askedAt) {
        boolean settled = state == State.RUNNING || state == State.STOPPED;
        return settled && askedAt - settledAt > 0;
    }

    /** Why its order is said to be refused when the worker is lost before the run is known to have begun. */
    RunRefusal refusalIfLost() {
        return state == State.STARTING ? RunRefusal.NO_WORKER : RunRefusal.UNANSWERED;
    }

    // -- updates

    void seen(long nowNanos, int percentDone) {
        begun(nowNanos);
        percent = percentDone;
        seenAt = nowNanos;
    }

    void startCalled(RunId withId) {
        id = withId;
        startCalls++;
    }

    void begun(long nowNanos) {
        begun = true;
        if (state == State.STARTING) {
            state = State.RUNNING;
            settledAt = nowNanos;
        }
    }

    void wantStop() {
        stopWanted = true;
    }

    void stopping() {
        state = State.STOPPING;
        stopAgainAt = Long.MAX_VALUE;
    }

    void stopAgainAt(long atNanos) {
        stopAgainAt = atNanos;
    }

    void stopped(long nowNanos) {
        state = State.STOPPED;
        settledAt = nowNanos;
    }
}
