package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.caller.SubmissionName;

/**
 * Generates names of submissions, and distinguishes names that entries issued from callers' keys.
 */
final class SubmissionNames {

    private static final String GENERATED_PREFIX = "r-";
    private static final Pattern ISSUED_NAME = Pattern.compile("(?:t1|r)-([0-9a-f]{16})-.+");

    private SubmissionNames() {}

    /** Generates a name for a request without key and ticket. */
    static SubmissionName generate(Incarnation self, long number) {
        return SubmissionName.generated(GENERATED_PREFIX + self + "-" + number);
    }

    /** Parses a name that an entry issued: a ticket or a generated id. */
    static SubmissionName parseIssued(String text) {
        return text.startsWith(GENERATED_PREFIX) ? SubmissionName.generated(text) : SubmissionName.ticket(text);
    }

    /** Returns the incarnation of the entry that issued a name; empty for a caller's key. */
    static Optional<Incarnation> issuer(String text) {
        Matcher matcher = ISSUED_NAME.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long value = Long.parseUnsignedLong(matcher.group(1), 16);
        return value == 0 ? Optional.empty() : Optional.of(Incarnation.of(value));
    }
}
