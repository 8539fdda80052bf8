package org.teaselhook.node.caller;

import java.util.Objects;

/**
 * The name under which a submission can be looked up.
 *
 * @param kind the origin of the name
 * @param text the name, 1 to 128 visible ASCII characters
 */
public record SubmissionName(Kind kind, String text) {

    /** Checks that nothing is null. */
    public SubmissionName {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(text, "text is null");
    }

    /** The origin of a name. */
    public enum Kind {
        /** The caller's own idempotency key. */
        KEY,
        /** A ticket that an entry issued before. */
        TICKET,
        /** An id that the entry generated for a request without key and ticket. */
        GENERATED
    }

    /**
     * Returns the name for a caller's key.
     *
     * @param key the key
     * @return the name
     */
    public static SubmissionName key(String key) {
        return new SubmissionName(Kind.KEY, key);
    }

    /**
     * Returns the name for a ticket.
     *
     * @param ticket the ticket
     * @return the name
     */
    public static SubmissionName ticket(String ticket) {
        return new SubmissionName(Kind.TICKET, ticket);
    }

    /**
     * Returns the name for an id that the entry generated.
     *
     * @param id the id
     * @return the name
     */
    public static SubmissionName generated(String id) {
        return new SubmissionName(Kind.GENERATED, id);
    }

    /**
     * Tells whether a client can submit under this name again.
     *
     * @return true for keys and tickets
     */
    public boolean isResubmittable() {
        return kind != Kind.GENERATED;
    }
}
