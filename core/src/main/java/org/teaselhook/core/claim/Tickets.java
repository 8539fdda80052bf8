package org.teaselhook.core.claim;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.teaselhook.core.id.Incarnation;

/**
 * Issues tickets and admits each of them once. No other process takes part, so it works without the table service.
 * Safe for use by many threads.
 *
 * <pre>{@code
 * String ticket = tickets.issue(1, nowMillis).get(0);
 * tickets.admit(ticket, digest, nowMillis); // Admitted
 * tickets.admit(ticket, digest, nowMillis); // Joined
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
     * Returns an issuer that has issued nothing yet.
     *
     * @param self the incarnation that issues
     * @param random a source of randomness that cannot be guessed and is safe for use by many threads, such as
     *     {@link java.security.SecureRandom}
     * @param limits the bounds
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
     * Issues tickets. Nothing is remembered of a ticket before it is admitted.
     *
     * @param count how many
     * @param nowMillis the present wall-clock time
     * @return their texts, of visible ASCII characters
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
     * Admits a ticket if it is this incarnation's own, valid and new.
     *
     * @param text the ticket's text
     * @param bodyDigest a digest of the request's body
     * @param nowMillis the present wall-clock time
     * @return whether the submission may start
     */
    public TicketResult admit(String text, long bodyDigest, long nowMillis) {
        Objects.requireNonNull(text, "text is null");
        Optional<Ticket> parsed = Ticket.parse(text);
        if (parsed.isEmpty()) {
            return new TicketResult.Malformed("the text has not the form of a ticket");
        }
        Ticket ticket = parsed.get();
        if (!ticket.issuer().equals(self)) {
            return new TicketResult.Foreign(ticket.issuer());
        }
        if (!signer.isOwn(ticket)) {
            return new TicketResult.Malformed("the ticket was altered");
        }
        return admitted.admit(ticket, bodyDigest, nowMillis);
    }

    /**
     * States that the submission under an admitted ticket did not start and will not under that admission. The ticket
     * may be admitted again.
     *
     * @param text the ticket's text
     */
    public void abandon(String text) {
        Ticket.parse(text).filter(ticket -> ticket.issuer().equals(self)).ifPresent(admitted::forget);
    }

    // -- accessors

    /**
     * Returns how long a new ticket can be admitted.
     *
     * @return the time in milliseconds
     */
    public long lifetimeMillis() {
        return limits.lifetimeMillis();
    }

    /**
     * Returns the number of admitted tickets remembered.
     *
     * @return the number of tickets
     */
    public int remembered() {
        return admitted.size();
    }
}
