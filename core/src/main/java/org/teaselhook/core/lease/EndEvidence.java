package org.teaselhook.core.lease;

import java.util.Locale;

/**
 * The evidence for the end or the refusal of an order.
 */
public enum EndEvidence {
    /** The worker listed the end of the run. */
    LISTED_END,
    /** The run is missing from a list that was requested after the longest time of its confirmed stop. */
    UNLISTED_AFTER_STOP,
    /** Several lists of the next incarnation of the worker lack the run. */
    UNLISTED_BY_NEXT_INCARNATION,
    /** The worker does not answer, and the lease of the run has certainly expired. */
    LEASE_EXPIRED,
    /** The worker announced its end and does not answer, and its lease has certainly expired. */
    WORKER_LEFT,
    /** The worker refused the start call for want of capacity. */
    START_NO_ROOM,
    /** The worker refused the start call, as it has seen a higher fencing token. */
    START_FENCED,
    /** The worker refused the start call, as it has seen this run number or a higher one. */
    START_OLD_RUN,
    /** The worker refused the start call, as its lease had expired. */
    START_LEASE_PASSED,
    /** The worker refused the start call for another reason. */
    START_REFUSED,
    /** Another worker answered the start call. */
    START_OTHER_WORKER,
    /** The start call was never sent. */
    START_NOT_SENT,
    /** The start call was not answered. */
    START_UNANSWERED,
    /** The order was refused before any call to the worker. */
    NOT_CALLED;

    // -- factories

    /**
     * Returns the evidence that the result of a start call gives for a refusal.
     *
     * @param result the result, other than {@link StartResult#STARTED}
     * @return the evidence
     */
    static EndEvidence of(StartResult result) {
        return switch (result) {
            case NO_ROOM -> START_NO_ROOM;
            case FENCED -> START_FENCED;
            case OLD_RUN -> START_OLD_RUN;
            case LEASE_PASSED -> START_LEASE_PASSED;
            case REFUSED -> START_REFUSED;
            case OTHER_WORKER -> START_OTHER_WORKER;
            case NOT_SENT -> START_NOT_SENT;
            case UNKNOWN -> START_UNANSWERED;
            case STARTED -> throw new IllegalArgumentException("a run that was started is not refused");
        };
    }

    // -- accessors

    /**
     * Returns the text for the log.
     *
     * @return the name in lower case with hyphens, such as {@code lease-expired}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
