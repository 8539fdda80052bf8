package org.teaselhook.core.claim;

/**
 * The limits of tickets.
 *
 * @param lifetimeMillis how long after its issue a ticket can be admitted
 * @param retentionMillis the minimum time for which the admission of a ticket is retained after its expiry
 * @param maxAdmitted the maximum number of retained admissions
 */
public record TicketLimits(long lifetimeMillis, long retentionMillis, int maxAdmitted) {

    private static final TicketLimits STANDARD = new TicketLimits(60_000, 240_000, 1_000_000);

    /** Checks the limits. */
    public TicketLimits {
        if (lifetimeMillis < 1 || retentionMillis < 0 || maxAdmitted < 1) {
            throw new IllegalArgumentException("a limit is out of range");
        }
    }

    /**
     * Returns the default limits: a ticket can be admitted for 60 s, and its admission is retained for 240 s more.
     *
     * @return the limits
     */
    public static TicketLimits standard() {
        return STANDARD;
    }
}
