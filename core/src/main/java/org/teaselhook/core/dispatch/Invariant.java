package org.teaselhook.core.dispatch;

/**
 * The invariants of a {@link Dispatcher}.
 */
public enum Invariant {
    /** An at-most-once task never has two orders that may both start. */
    CLAIMED_TASK_STARTED_TWICE("stop the entry and keep its log: an at-most-once task would start twice"),
    /** An order that uses a grant has one. */
    GRANT_OVERDRAWN("stop the entry and keep its log: a slot was used that was not granted"),
    /** Each submission is answered once. */
    ANSWERED_TWICE("stop the entry and keep its log: a submission would be answered twice"),
    /** Each submission id is used once. */
    SUBMISSION_REUSED("give each submission a unique id"),
    /** Each dispatch number is used once. */
    NUMBER_REUSED("stop the entry and keep its log: a dispatch number would be used twice"),
    /** No task starts while the entry must not start work. */
    STARTED_UNSERVED("stop the entry and keep its log: a task would start on a stale configuration"),
    /** No task starts in an availability zone known to be out of service. */
    STARTED_IN_ZONE_OUT("stop the entry and keep its log: a task would start in a zone out of service");

    private final String remedy;

    Invariant(String remedy) {
        this.remedy = remedy;
    }

    /**
     * Returns what an operator does about a violation.
     *
     * @return the remedy
     */
    public String remedy() {
        return remedy;
    }

    /**
     * Checks the invariant.
     *
     * @param holds whether it holds
     * @param subject the object that the check concerns
     * @throws InvariantViolation if it does not hold
     */
    void check(boolean holds, Object subject) {
        if (!holds) {
            throw new InvariantViolation(this, String.valueOf(subject));
        }
    }
}
