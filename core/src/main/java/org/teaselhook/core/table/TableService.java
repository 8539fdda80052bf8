package org.teaselhook.core.table;

import java.util.concurrent.CompletionStage;

/**
 * An asynchronous client of the table service. No method blocks; each stage completes normally within a bounded time
 * with a {@link TableResult}, never exceptionally.
 */
public interface TableService {

    /**
     * Reads one row.
     *
     * @param key the row's key
     * @return the row, {@link TableResult.NotFound}, or {@link TableResult.Unavailable}
     */
    CompletionStage<TableResult> read(String key);

    /**
     * Reads rows in key order.
     *
     * @param fromInclusive the first key
     * @param toExclusive the key after the last
     * @param limit the greatest number of rows, from 1 to 1,000
     * @return {@link TableResult.Rows}, or {@link TableResult.Unavailable}
     */
    CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit);

    /**
     * Applies all writes if every condition holds, else none.
     *
     * @param transaction the conditions and writes
     * @return {@link TableResult.Committed}, {@link TableResult.Conflict}, or {@link TableResult.Unavailable}, after
     *     which the transaction may have taken effect or may still do so
     */
    CompletionStage<TableResult> commit(Transaction transaction);
}
