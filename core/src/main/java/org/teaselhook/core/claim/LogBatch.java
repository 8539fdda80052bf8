package org.teaselhook.core.claim;

import org.teaselhook.core.table.Transaction;

/**
 * A row being appended. It stays the same through all tries at its sequence.
 *
 * @param sequence its sequence
 * @param row its value
 * @param firstSent when it was first sent
 * @param unsettled whether a try ended without known result, so that the row may be there or may still be appended
 */
record LogBatch(long sequence, ClaimRow row, ClockReading firstSent, boolean unsettled) {

    LogBatch asUnsettled() {
        return new LogBatch(sequence, row, firstSent, true);
    }

    /** Tells whether a row read at this sequence is the batch's own. */
    boolean isSameAs(ClaimRow read) {
        return read.writer().equals(row.writer()) && read.nonce() == row.nonce();
    }

    /** Returns the transaction that appends the row while the floor row has a version. */
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
