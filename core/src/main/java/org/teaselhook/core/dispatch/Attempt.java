package org.teaselhook.core.dispatch;

/**
 * One order in progress.
 */
final class Attempt {

    private final long number;
    private final ActiveTask task;
    private final Member member;
    private final long sentAt;
    private final AttemptCause cause;
    private final boolean granted;
    private Timers.Timer slow;
    private boolean late;
    private boolean lost;

    Attempt(long number, ActiveTask task, Member member, long sentAt, AttemptCause cause) {
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

    Member member() {
        return member;
    }

    long sentAt() {
        return sentAt;
    }

    AttemptCause cause() {
        return cause;
    }

    /** Tells whether it uses up a granted slot. */
    boolean isGranted() {
        return granted;
    }

    /** Tells whether its lateness was noted in the worker's health. */
    boolean isLate() {
        return late;
    }

    /** Tells whether the task was already placed elsewhere because the worker is silent. */
    boolean isLost() {
        return lost;
    }

    // -- updates

    void watch(Timers.Timer timer, long atNanos) {
        slow = timer;
        slow.set(atNanos);
    }

    void watchAgain(long atNanos) {
        slow.set(atNanos);
    }

    void unwatch() {
        slow.clear();
    }

    void late() {
        late = true;
    }

    void lost() {
        lost = true;
    }
}
