package org.teaselhook.core.claim;

/**
 * The bounds of tickets.
 *
 * @param lifetimeMillis how long after its issue a ticket can be admitted
 * @param retentionMillis how long after its expiry an admitted ticket is remembered at least
 * @param maxRemembered the greatest number of admitted tickets remembered
 */
public record TicketLimits(long lifetimeMillis, long retentionMillis, int maxRemembered) {

    private static final TicketLimits STANDARD = new TicketLimits(60_000, 240_000, 1_000_000);

    /** Checks the bounds. */
    public TicketLimits {
        if (lifetimeMillis < 1 || retentionMillis < 0 || maxRemembered < 1) {
            throw new IllegalArgumentException("a bound is out of range");
        }
    }

    /**
     * Returns the usual bounds: tickets live for 60 s and are remembered for 240 s more.
     *
     * @return the bounds
     */
    public static TicketLimits standard() {
        return STANDARD;
    }
}
