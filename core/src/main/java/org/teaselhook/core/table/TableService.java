package org.teaselhook.core.table;

import java.util.concurrent.CompletionStage;

/**
 * An asynchronous client of the table service. No method blocks. Each stage completes within a bounded time with a
 * {@link TableResult}, never exceptionally.
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
     * @param toExclusive the end of the key range
     * @param limit the maximum number of rows, from 1 to 1,000
     * @return {@link TableResult.Rows}, or {@link TableResult.Unavailable}
     */
    CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit);

    /**
     * Applies all writes if every condition holds, and none otherwise.
     *
     * @param transaction the conditions and writes
     * @return {@link TableResult.Committed}, {@link TableResult.Conflict}, or {@link TableResult.Unavailable}, after
     *     which the transaction may have taken effect or may still take effect
     */
    CompletionStage<TableResult> commit(Transaction transaction);
}
