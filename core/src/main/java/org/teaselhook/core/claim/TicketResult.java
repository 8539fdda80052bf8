package org.teaselhook.core.claim;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of presenting a ticket.
 */
public sealed interface TicketResult
        permits TicketResult.Admitted,
                TicketResult.AlreadyAdmitted,
                TicketResult.BodyMismatch,
                TicketResult.Expired,
                TicketResult.Malformed,
                TicketResult.OtherIssuer,
                TicketResult.AtCapacity {

    /** The ticket is admitted for the first time: the submission may start. */
    record Admitted() implements TicketResult {}

    /**
     * The ticket was admitted before with the same request body: wait for the running submission or return its stored
     * answer.
     */
    record AlreadyAdmitted() implements TicketResult {}

    /** The ticket was admitted before with another request body. This request did not run and will not. */
    record BodyMismatch() implements TicketResult {}

    /**
     * The ticket expired and is not admitted.
     *
     * @param neverAdmitted true if the ticket was certainly never admitted; if false, a submission under it may have
     *     run
     */
    record Expired(boolean neverAdmitted) implements TicketResult {}

    /**
     * The text is not a ticket, or was altered. This request did not run and will not.
     *
     * @param reason why the ticket is invalid
     */
    record Malformed(String reason) implements TicketResult {
        /** Checks that no component is null. */
        public Malformed {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * Another incarnation issued the ticket, and only that one can admit it. If its process has ended, the submission
     * may have run.
     *
     * @param issuer the incarnation that issued the ticket
     */
    record OtherIssuer(Incarnation issuer) implements TicketResult {
        /** Checks that no component is null. */
        public OtherIssuer {
            Objects.requireNonNull(issuer, "issuer is null");
        }
    }

    /** Too many admissions are retained already. This request did not run; it may be sent again later. */
    record AtCapacity() implements TicketResult {}
}
