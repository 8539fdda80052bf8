package org.teaselhook.core.claim;

import java.util.OptionalLong;

import org.agrona.collections.Long2LongHashMap;

/**
 * The admitted tickets of this process, bounded in time and number. Thread-safe.
 *
 * <p>Admissions are held in two generations, each spanning a ticket's lifetime plus its retention time, so that every
 * admission is retained for at least that long.
 */
final class AdmittedTickets {

    private static final long MISSING = Long.MIN_VALUE;

    private final TicketLimits limits;
    private final long generationMillis;
    private Long2LongHashMap current = new Long2LongHashMap(MISSING);
    private Long2LongHashMap previous = new Long2LongHashMap(MISSING);
    private long generationStartMillis;
    private long latestMillis;

    AdmittedTickets(TicketLimits limits) {
        this.limits = limits;
        this.generationMillis = limits.lifetimeMillis() + limits.retentionMillis();
    }

    synchronized TicketResult admit(Ticket ticket, long bodyDigest, long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        rotate();
        OptionalLong admittedDigest = find(ticket.nonce());
        if (admittedDigest.isPresent()) {
            return admittedDigest.getAsLong() == toStored(bodyDigest)
                    ? new TicketResult.AlreadyAdmitted()
                    : new TicketResult.BodyMismatch();
        }
        long sinceExpiryMillis = latestMillis - ticket.expiryMillis();
        if (sinceExpiryMillis >= 0) {
            return new TicketResult.Expired(sinceExpiryMillis < limits.retentionMillis());
        }
        if (size() >= limits.maxAdmitted()) {
            return new TicketResult.AtCapacity();
        }
        current.put(ticket.nonce(), toStored(bodyDigest));
        return new TicketResult.Admitted();
    }

    synchronized void remove(Ticket ticket) {
        current.remove(ticket.nonce());
        previous.remove(ticket.nonce());
    }

    synchronized int size() {
        return current.size() + previous.size();
    }

    private void rotate() {
        long ageMillis = latestMillis - generationStartMillis;
        if (ageMillis < generationMillis) {
            return;
        }
        previous = ageMillis < 2 * generationMillis ? current : new Long2LongHashMap(MISSING);
        current = new Long2LongHashMap(MISSING);
        generationStartMillis = latestMillis;
    }

    private OptionalLong find(long nonce) {
        if (current.containsKey(nonce)) {
            return OptionalLong.of(current.get(nonce));
        }
        return previous.containsKey(nonce) ? OptionalLong.of(previous.get(nonce)) : OptionalLong.empty();
    }

    /** Replaces the one value that the map cannot store because it marks absence. */
    private static long toStored(long bodyDigest) {
        return bodyDigest == MISSING ? MISSING + 1 : bodyDigest;
    }
}
