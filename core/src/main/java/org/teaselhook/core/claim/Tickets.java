package org.teaselhook.core.claim;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.teaselhook.core.id.Incarnation;

/**
 * Issues tickets and admits each of them once. No other process is involved, so it works without the table service.
 * Thread-safe.
 *
 * <pre>{@code
 * String ticket = tickets.issue(1, nowMillis).get(0);
 * tickets.admit(ticket, digest, nowMillis); // Admitted
 * tickets.admit(ticket, digest, nowMillis); // AlreadyAdmitted
 * }</pre>
 */
public final class Tickets {

    private final Incarnation self;
    private final RandomGenerator random;
    private final TicketLimits limits;
    private final TicketSigner signer;
    private final AdmittedTickets admitted;

    private Tickets(Incarnation self, RandomGenerator random, TicketLimits limits) {
        this.self = self;
        this.random = random;
        this.limits = limits;
        this.signer = TicketSigner.withRandomSecret(random);
        this.admitted = new AdmittedTickets(limits);
    }

    // -- factories

    /**
     * Returns an issuer without issued or admitted tickets.
     *
     * @param self the incarnation that issues the tickets
     * @param random a cryptographically strong and thread-safe source of randomness, such as
     *     {@link java.security.SecureRandom}
     * @param limits the limits
     * @return the issuer
     */
    public static Tickets of(Incarnation self, RandomGenerator random, TicketLimits limits) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(limits, "limits is null");
        return new Tickets(self, random, limits);
    }

    // -- operations

    /**
     * Issues tickets. No state is held for a ticket before it is admitted.
     *
     * @param count the number of tickets
     * @param nowMillis the current wall-clock time
     * @return their texts, in visible ASCII characters
     */
    public List<String> issue(int count, long nowMillis) {
        long expiryMillis = nowMillis + limits.lifetimeMillis();
        return IntStream.range(0, count)
                .mapToObj(i -> new Ticket(self, expiryMillis, random.nextLong(), ""))
                .map(signer::sign)
                .map(Ticket::toString)
                .toList();
    }

    /**
     * Admits a ticket if this incarnation issued it, it is valid, and it was not admitted before.
     *
     * @param text the ticket's text
     * @param bodyDigest a digest of the request body
     * @param nowMillis the current wall-clock time
     * @return the result, which tells whether the submission may start
     */
    public TicketResult admit(String text, long bodyDigest, long nowMillis) {
        Objects.requireNonNull(text, "text is null");
        Optional<Ticket> parsed = Ticket.parse(text);
        if (parsed.isEmpty()) {
            return new TicketResult.Malformed("the text does not have the format of a ticket");
        }
        Ticket ticket = parsed.get();
        if (!ticket.issuer().equals(self)) {
            return new TicketResult.OtherIssuer(ticket.issuer());
        }
        if (!signer.hasValidMac(ticket)) {
            return new TicketResult.Malformed("the ticket was altered");
        }
        return admitted.admit(ticket, bodyDigest, nowMillis);
    }

    /**
     * Revokes the admission of a ticket whose submission did not start and will not under that admission. The ticket
     * may be admitted again.
     *
     * @param text the ticket's text
     */
    public void abandon(String text) {
        Ticket.parse(text).filter(ticket -> ticket.issuer().equals(self)).ifPresent(admitted::remove);
    }

    // -- accessors

    /**
     * Returns how long a ticket can be admitted after its issue.
     *
     * @return the time in milliseconds
     */
    public long lifetimeMillis() {
        return limits.lifetimeMillis();
    }

    /**
     * Returns the number of retained admissions.
     *
     * @return the number of admitted tickets
     */
    public int admittedCount() {
        return admitted.size();
    }
}
