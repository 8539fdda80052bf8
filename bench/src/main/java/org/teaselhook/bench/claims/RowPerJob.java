package org.teaselhook.bench.claims;

import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * One row for each key, inserted if absent by any entry.
 *
 * @param table the table service
 */
record RowPerJob(TableService table) implements Claimer {

    private static final int ROW_BYTES = 24;

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        String row = "jobs/" + key;
        return table.commit(Transaction.empty().requireAbsent(row).put(row, new byte[ROW_BYTES]))
                .thenApply(TableResult.Committed.class::isInstance);
    }

    @Override
    public void killFirst() {
        // Any other entry inserts the rows of new keys.
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
