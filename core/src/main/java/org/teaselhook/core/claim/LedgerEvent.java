package org.teaselhook.core.claim;

import java.util.Locale;
import java.util.Objects;

/**
 * One event of the ledger, for logs and metrics.
 *
 * @param kind the kind
 * @param shard the shard, or -1 if it concerns all
 * @param sequence the log sequence concerned, or -1
 * @param claims the number of claims or rows concerned
 * @param tookNanos the time that the call to the table service took, or 0
 */
public record LedgerEvent(Kind kind, int shard, long sequence, int claims, long tookNanos) {

    /** Checks that nothing is null. */
    public LedgerEvent {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** The kinds of events. */
    public enum Kind {
        /** A row of this ledger was appended. */
        APPENDED,
        /** An append met a row of another ledger or a new floor. */
        CONFLICT,
        /** An append has no known result; it is read back. */
        UNSETTLED,
        /** An append without known result was found to have taken effect. */
        SETTLED,
        /** Rows of other ledgers were read. */
        CAUGHT_UP,
        /** Rows past the retention time were deleted. */
        TRIMMED,
        /** The table service is down or slow; claims are refused at once. */
        BREAKER_OPENED,
        /** A call that probes the table service succeeded; one append at a time is let through. */
        BREAKER_HALF_OPENED,
        /** The table service is back. */
        BREAKER_CLOSED,
        /** A row could not be decoded; claims of its shard are refused. */
        UNREADABLE;

        /**
         * Returns the kind's name in kebab case.
         *
         * @return the name
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /**
         * Tells whether events of this kind happen all the time in a healthy system.
         *
         * @return true for appends and reads
         */
        public boolean isRoutine() {
            return this == APPENDED || this == CAUGHT_UP;
        }
    }
}
