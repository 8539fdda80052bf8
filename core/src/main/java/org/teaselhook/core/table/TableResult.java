package org.teaselhook.core.table;

import java.util.List;

/**
 * The result of a call to the table service.
 */
public sealed interface TableResult
        permits TableResult.Found,
                TableResult.NotFound,
                TableResult.Rows,
                TableResult.Committed,
                TableResult.Conflict,
                TableResult.Unavailable {

    /**
     * The row exists.
     *
     * @param row the row
     */
    record Found(Row row) implements TableResult {}

    /** The row does not exist. */
    record NotFound() implements TableResult {}

    /**
     * The rows of a scan.
     *
     * @param rows the rows in key order
     */
    record Rows(List<Row> rows) implements TableResult {
        /** Copies the list. */
        public Rows {
            rows = List.copyOf(rows);
        }
    }

    /** The transaction took effect. */
    record Committed() implements TableResult {}

    /**
     * A condition did not hold, and the transaction had no effect.
     *
     * @param key the key of the first condition that did not hold
     */
    record Conflict(String key) implements TableResult {}

    /**
     * The service did not answer in time or reported that it is unavailable. A transaction may have taken effect, or
     * may still take effect later.
     *
     * @param reason a description of the failure
     */
    record Unavailable(String reason) implements TableResult {}
}
