package org.teaselhook.bench.history;

/** The ways a call ends. */
public enum AnswerKind {
    /** Every task was answered. */
    COMPLETE,
    /** Failed; no task started and none will. */
    NOT_RUN,
    /** Failed; some task may have started. */
    MAY_HAVE_RUN,
    /** Answered without an outcome. */
    UNLABELLED,
    /** No connection could be made: nothing was sent. */
    NOT_SENT,
    /** The connection was closed without an answer. */
    CLOSED,
    /** The caller gave up waiting. */
    TIMED_OUT;

    /**
     * Tells whether an answer arrived.
     *
     * @return true if the system told an outcome
     */
    public boolean isOutcome() {
        return this == COMPLETE || this == NOT_RUN || this == MAY_HAVE_RUN;
    }
}
