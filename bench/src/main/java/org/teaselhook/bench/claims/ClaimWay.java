package org.teaselhook.bench.claims;

import java.util.Locale;

import org.teaselhook.core.table.TableService;

/**
 * The ways compared.
 */
enum ClaimWay {
    /** One row of the table service for each key. */
    ROW_PER_JOB {
        @Override
        Claimer start(TableService table) {
            return new RowPerJob(table);
        }
    },
    /** The ledger: one row for a batch of keys. */
    PACKED_LEDGER {
        @Override
        Claimer start(TableService table) {
            return PackedLedger.start(table);
        }
    },
    /** Claims in memory under a lease on the shard. */
    SHARD_LEASES {
        @Override
        Claimer start(TableService table) {
            return ShardLeases.start(table);
        }
    },
    /** Tickets, admitted by their issuer alone. */
    TICKETS {
        @Override
        Claimer start(TableService table) {
            return new TicketsOnly();
        }
    };

    abstract Claimer start(TableService table);

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
