package org.teaselhook.core.claim;

import java.util.Objects;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A call to the table service that a ledger requests.
 */
public sealed interface TableCall permits TableCall.Read, TableCall.Scan, TableCall.Commit {

    /**
     * Makes the call.
     *
     * @param table the table service
     * @return a stage that completes with the result
     */
    CompletionStage<TableResult> executeOn(TableService table);

    /**
     * Reads one row.
     *
     * @param key the row's key
     */
    record Read(String key) implements TableCall {
        /** Checks that no component is null. */
        public Read {
            Objects.requireNonNull(key, "key is null");
        }

        @Override
        public CompletionStage<TableResult> executeOn(TableService table) {
            return table.read(key);
        }
    }

    /**
     * Reads rows in key order.
     *
     * @param fromInclusive the lower end of the key range
     * @param toExclusive the upper end of the key range
     * @param limit the maximum number of rows
     */
    record Scan(String fromInclusive, String toExclusive, int limit) implements TableCall {
        /** Checks that no component is null. */
        public Scan {
            Objects.requireNonNull(fromInclusive, "fromInclusive is null");
            Objects.requireNonNull(toExclusive, "toExclusive is null");
        }

        @Override
        public CompletionStage<TableResult> executeOn(TableService table) {
            return table.scan(fromInclusive, toExclusive, limit);
        }
    }

    /**
     * Commits a transaction.
     *
     * @param transaction the transaction
     */
    record Commit(Transaction transaction) implements TableCall {
        /** Checks that no component is null. */
        public Commit {
            Objects.requireNonNull(transaction, "transaction is null");
        }

        @Override
        public CompletionStage<TableResult> executeOn(TableService table) {
            return table.commit(transaction);
        }
    }
}
