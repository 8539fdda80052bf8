package org.teaselhook.bench.history;

/** How a call ended. */
public enum AnswerKind {
    /** Every task was answered. */
    COMPLETE,
    /** Failed: no task has started and none will start. */
    NOT_RUN,
    /** Failed: some tasks may have started. */
    MAY_HAVE_RUN,
    /** Answered without an outcome header. */
    UNLABELLED,
    /** No connection could be opened; nothing was sent. */
    NOT_SENT,
    /** The connection was closed without an answer. */
    CLOSED,
    /** The caller timed out. */
    TIMED_OUT;

    /**
     * Tells whether the answer named an outcome.
     *
     * @return true for the three outcomes of the interface
     */
    public boolean isOutcome() {
        return this == COMPLETE || this == NOT_RUN || this == MAY_HAVE_RUN;
    }
}
