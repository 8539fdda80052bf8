package org.teaselhook.core.dispatch;

/**
 * An order in progress.
 */
final class Attempt {

    private final long number;
    private final ActiveTask task;
    private final PoolMember member;
    private final long sentAt;
    private final AttemptCause cause;
    private final boolean granted;
    private Timers.Timer lateTimer;
    private boolean late;
    private boolean rescheduled;

    Attempt(long number, ActiveTask task, PoolMember member, long sentAt, AttemptCause cause) {
        this.number = number;
        this.task = task;
        this.member = member;
        this.sentAt = sentAt;
        this.cause = cause;
        this.granted = member.pool().usesGrants() && member.worker().grants() > 0;
    }

    // -- accessors

    long number() {
        return number;
    }

    ActiveTask task() {
        return task;
    }

    PoolMember member() {
        return member;
    }

    long sentAt() {
        return sentAt;
    }

    AttemptCause cause() {
        return cause;
    }

    /** Tells whether the order uses a granted slot. */
    boolean isGranted() {
        return granted;
    }

    /** Tells whether the order was recorded as late in the worker's health. */
    boolean isLate() {
        return late;
    }

    /** Tells whether the task was queued again because the worker is unresponsive. */
    boolean isRescheduled() {
        return rescheduled;
    }

    // -- updates

    void startLateTimer(Timers.Timer timer, long atNanos) {
        lateTimer = timer;
        lateTimer.set(atNanos);
    }

    void resetLateTimer(long atNanos) {
        lateTimer.set(atNanos);
    }

    void clearLateTimer() {
        lateTimer.clear();
    }

    void markLate() {
        late = true;
    }

    void markRescheduled() {
        rescheduled = true;
    }
}
