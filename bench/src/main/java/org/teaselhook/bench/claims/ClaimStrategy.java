package org.teaselhook.bench.claims;

import java.util.Locale;

import org.teaselhook.core.table.TableService;

/**
 * The strategies that are compared.
 */
enum ClaimStrategy {
    /** One row of the table service for each key. */
    ROW_PER_JOB {
        @Override
        Claimer start(TableService table) {
            return new RowPerJob(table);
        }
    },
    /** The claim ledger, which packs a batch of keys into one row. */
    PACKED_LEDGER {
        @Override
        Claimer start(TableService table) {
            return PackedLedger.start(table);
        }
    },
    /** Claims in memory by the holder of a lease on the key's shard. */
    SHARD_LEASES {
        @Override
        Claimer start(TableService table) {
            return ShardLeases.start(table);
        }
    },
    /** Tickets, which only their issuer admits. */
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
