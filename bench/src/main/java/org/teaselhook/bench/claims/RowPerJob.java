package org.teaselhook.bench.claims;

import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * One row for each key, which any entry inserts if it is absent.
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
    public void killFirstEntry() {
        // Any of the other entries can insert the rows of new keys.
    }

    @Override
    public void close() {
        // There are no resources to release.
    }
}
