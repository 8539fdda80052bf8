package org.teaselhook.bench.history;

/** The ways in which a history breaks what must always hold. */
public enum ViolationKind {
    /** A task of a job or of a non-idempotent request started more than once. */
    STARTED_TWICE("a task that may start once started more than once"),
    /** A target was handed a task that no caller had submitted by then. */
    STARTED_UNASKED("a task started that no caller had submitted"),
    /** A call was refused as not run although it started a task. */
    NOT_RUN_BUT_STARTED("a call was answered not run although a task started for it"),
    /** A call was refused as not run although a task of its key had started before the call was sent. */
    NOT_RUN_AFTER_START("a resubmission was answered not run although its key's work had started before"),
    /** An answer leaves open whether the work was done. */
    NO_OUTCOME("an answer named none of the three outcomes"),
    /** A complete answer lacks tasks. */
    PARTIAL_ANSWER("a complete answer has another number of tasks than the submission"),
    /** A complete answer holds the answer to something else. */
    FOREIGN_ANSWER("a complete answer is not the answer to its own request"),
    /** Two complete answers under one key differ. */
    DIFFERENT_ANSWERS("two complete answers under the same key differ"),
    /** A call was answered complete although a task never started. */
    COMPLETE_BUT_NOT_STARTED("a call was answered complete although a task never started"),
    /** A task started in a zone that was out of service. */
    STARTED_IN_ZONE_OUT("a task started in an availability zone too long after it was taken out"),
    /** A task started at a target that was leaving. */
    STARTED_AT_LEAVING_TARGET("a task started at a target too long after it announced that it leaves"),
    /** An observer's version fell. */
    VERSION_FELL("a process went back to an older configuration"),
    /** An accepted change of configuration is not in its history. */
    CHANGE_LOST("an accepted configuration change is missing from the history, or another took its version"),
    /** An operation is in the history of the configuration more than once. */
    CHANGE_APPLIED_TWICE("a configuration change was applied more than once"),
    /** A graceful stop cut a request. */
    CUT_BY_STOP("a graceful stop cut a request in progress"),
    /** A process found one of its own invariants broken. */
    INVARIANT("a process logged that an invariant does not hold");

    private final String message;

    ViolationKind(String message) {
        this.message = message;
    }

    /**
     * Returns what is wrong.
     *
     * @return one clause in plain English
     */
    public String message() {
        return message;
    }
}
