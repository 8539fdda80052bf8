package org.teaselhook.core.claim;

import java.util.Locale;
import java.util.Objects;

/**
 * An event of the ledger, for logs and metrics.
 *
 * @param kind the kind
 * @param shard the shard, or -1 if the event concerns all shards
 * @param sequence the log sequence, or -1 if the event concerns all shards
 * @param count the number of claims or, for {@link Kind#CAUGHT_UP}, of rows
 * @param durationNanos the duration of the call to the table service, or 0 if the event does not concern a call
 */
public record LedgerEvent(Kind kind, int shard, long sequence, int count, long durationNanos) {

    /** Checks that the kind is not null. */
    public LedgerEvent {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** The kinds of events. */
    public enum Kind {
        /** A row of this ledger was appended. */
        APPENDED,
        /** An append conflicted with a row of another ledger or with a newer floor. */
        CONFLICT,
        /** The result of an append is unknown; the log is read back to find out. */
        UNSETTLED,
        /** An append whose result was unknown was found to have taken effect. */
        SETTLED,
        /** Rows of other ledgers were read. */
        CAUGHT_UP,
        /** Rows past the retention time were deleted. */
        TRIMMED,
        /** The table service is unavailable or slow; claims are refused at once. */
        BREAKER_OPENED,
        /** A probe of the table service succeeded; one shard at a time may call it. */
        BREAKER_HALF_OPENED,
        /** The table service is available again. */
        BREAKER_CLOSED,
        /** A row is missing or cannot be decoded; claims of its shard are refused. */
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
         * Tells whether events of this kind are part of normal operation.
         *
         * @return true for appends and reads
         */
        public boolean isRoutine() {
            return this == APPENDED || this == CAUGHT_UP;
        }
    }
}
