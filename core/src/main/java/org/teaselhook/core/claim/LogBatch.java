package org.teaselhook.core.claim;

import org.teaselhook.core.table.Transaction;

/**
 * A row being appended. All attempts at its sequence send the same row.
 *
 * @param sequence its sequence in the log
 * @param row its value
 * @param firstSent when it was first sent
 * @param unsettled whether the result of an attempt is unknown: the row may exist already or may still appear
 */
record LogBatch(long sequence, ClaimRow row, ClockReading firstSent, boolean unsettled) {

    LogBatch asUnsettled() {
        return new LogBatch(sequence, row, firstSent, true);
    }

    /** Tells whether a row read at this sequence is the row of this batch. */
    boolean isSameAs(ClaimRow read) {
        return read.writer().equals(row.writer()) && read.nonce() == row.nonce();
    }

    /** Returns the transaction that appends the row, provided that the floor row has the given version. */
    Transaction append(LogKeys keys, long floorVersion) {
        String key = keys.row(sequence);
        return Transaction.empty()
                .require(keys.floor(), floorVersion)
                .requireAbsent(key)
                .put(key, row.encode())
                .put(keys.tail(), LogKeys.encode(sequence + 1));
    }

    int size() {
        return row.claims().size();
    }
}
