package org.teaselhook.bench.history;

/** The kinds of violations that a history may contain. */
public enum ViolationKind {
    /** A task of a job or of a non-idempotent request started more than once. */
    STARTED_TWICE("a task that may start only once started more than once"),
    /** A target received a task that no caller had submitted by then. */
    STARTED_UNASKED("a task started before any caller had submitted it"),
    /** A call was answered as not run although it started a task. */
    NOT_RUN_BUT_STARTED("a call was answered as not run although a task started for it"),
    /** A call was answered as not run although a task of its key had started before the call was sent. */
    NOT_RUN_AFTER_START("a resubmission was answered as not run although a task of its key had started before"),
    /** An answer does not state an outcome. */
    NO_OUTCOME("an answer named none of the three outcomes"),
    /** A complete answer does not have one answer for each task. */
    PARTIAL_ANSWER("a complete answer and its submission differ in their number of tasks"),
    /** A complete answer contains the answer to another request. */
    FOREIGN_ANSWER("a complete answer belongs to another request"),
    /** Two complete answers under one key differ. */
    DIFFERENT_ANSWERS("two complete answers under the same key differ"),
    /** A call was answered complete although a task never started. */
    COMPLETE_BUT_NOT_STARTED("a call was answered complete although a task never started"),
    /** A task started in a zone that was out of service for longer than the limit. */
    STARTED_IN_ZONE_OUT("a task started in an availability zone too long after it was taken out"),
    /** A task started at a target that had been leaving for longer than the limit. */
    STARTED_AT_LEAVING_TARGET("a task started at a target too long after its notice of leaving"),
    /** The configuration version of a process decreased. */
    VERSION_FELL("a process returned to an older configuration"),
    /** An accepted configuration change is missing from the history. */
    CHANGE_LOST("an accepted configuration change is missing from the history or replaced by another"),
    /** An operation occurs in the configuration's history more than once. */
    CHANGE_APPLIED_TWICE("a configuration change was applied more than once"),
    /** A graceful stop interrupted a request. */
    CUT_BY_STOP("a graceful stop interrupted a request in progress"),
    /** A process reported a violation of one of its invariants. */
    INVARIANT("a process logged the violation of an invariant");

    private final String message;

    ViolationKind(String message) {
        this.message = message;
    }

    /**
     * Returns a description of the violation.
     *
     * @return one clause in plain English
     */
    public String message() {
        return message;
    }
}
