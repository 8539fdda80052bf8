package org.teaselhook.core.claim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.teaselhook.core.id.Incarnation;

/**
 * The parts of a ticket's text.
 *
 * @param issuer the incarnation that issued it
 * @param expiryMillis the issuer's wall-clock time from which it is not admitted any more
 * @param nonce drawn at random for each ticket
 * @param code proves to the issuer that the other parts are its own
 */
record Ticket(Incarnation issuer, long expiryMillis, long nonce, String code) {

    private static final Pattern FORM =
            Pattern.compile("t1-([0-9a-f]{16})-([0-9a-f]{16})-([0-9a-f]{16})-([0-9a-f]{32})");
    private static final String SIGNED_FORMAT = "t1-%s-%016x-%016x";

    static Optional<Ticket> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches() || Long.parseUnsignedLong(matcher.group(1), 16) == 0) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(
                Incarnation.parse(matcher.group(1)),
                Long.parseUnsignedLong(matcher.group(2), 16),
                Long.parseUnsignedLong(matcher.group(3), 16),
                matcher.group(4)));
    }

    /** Returns the part of the text that the code covers. */
    String signedPart() {
        return String.format(SIGNED_FORMAT, issuer, expiryMillis, nonce);
    }

    @Override
    public String toString() {
        return signedPart() + "-" + code;
    }
}
