package org.teaselhook.core.claim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.teaselhook.core.id.Incarnation;

/**
 * The parsed text of a ticket.
 *
 * @param issuer the incarnation that issued the ticket
 * @param expiryMillis the issuer's wall-clock time from which the ticket is no longer admitted
 * @param nonce a random number per ticket
 * @param mac the message authentication code by which the issuer verifies the other parts
 */
record Ticket(Incarnation issuer, long expiryMillis, long nonce, String mac) {

    private static final Pattern FORMAT =
            Pattern.compile("t1-([0-9a-f]{16})-([0-9a-f]{16})-([0-9a-f]{16})-([0-9a-f]{32})");
    private static final String SIGNED_FORMAT = "t1-%s-%016x-%016x";

    static Optional<Ticket> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches() || Long.parseUnsignedLong(matcher.group(1), 16) == 0) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(
                Incarnation.parse(matcher.group(1)),
                Long.parseUnsignedLong(matcher.group(2), 16),
                Long.parseUnsignedLong(matcher.group(3), 16),
                matcher.group(4)));
    }

    /** Returns the part of the text that the message authentication code covers. */
    String signedPart() {
        return String.format(SIGNED_FORMAT, issuer, expiryMillis, nonce);
    }

    @Override
    public String toString() {
        return signedPart() + "-" + mac;
    }
}
