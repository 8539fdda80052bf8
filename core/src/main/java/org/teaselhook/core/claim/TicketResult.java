package org.teaselhook.core.claim;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of presenting a ticket.
 */
public sealed interface TicketResult
        permits TicketResult.Admitted,
                TicketResult.Joined,
                TicketResult.OtherBody,
                TicketResult.Expired,
                TicketResult.Malformed,
                TicketResult.Foreign,
                TicketResult.Full {

    /** The ticket is admitted, this one time: the submission may start. */
    record Admitted() implements TicketResult {}

    /** The ticket was admitted before with the same body: join the running submission or return its kept answer. */
    record Joined() implements TicketResult {}

    /** The ticket was admitted before with another body. The present request did not run and will not. */
    record OtherBody() implements TicketResult {}

    /**
     * The ticket expired and is not admitted.
     *
     * @param neverAdmitted true if it is certain that the ticket was never admitted; if false, a submission under it
     *     may have run
     */
    record Expired(boolean neverAdmitted) implements TicketResult {}

    /**
     * The text is no ticket of this system, or was altered. The present request did not run and will not.
     *
     * @param reason what is wrong
     */
    record Malformed(String reason) implements TicketResult {
        /** Checks that nothing is null. */
        public Malformed {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * Another incarnation issued the ticket, and it alone can admit it. If it is gone, the submission may have run.
     *
     * @param issuer the incarnation that issued the ticket
     */
    record Foreign(Incarnation issuer) implements TicketResult {
        /** Checks that nothing is null. */
        public Foreign {
            Objects.requireNonNull(issuer, "issuer is null");
        }
    }

    /** Too many tickets are remembered already. The present request did not run; it may be sent again later. */
    record Full() implements TicketResult {}
}
