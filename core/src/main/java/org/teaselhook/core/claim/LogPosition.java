package org.teaselhook.core.claim;

import org.teaselhook.core.table.Transaction;

/**
 * The position up to which one shard's log was read, and the floor as last read.
 */
final class LogPosition {

    private static final int SCAN_ROWS = 100;
    private static final long NO_GAP = -1;

    private final LogKeys keys;
    private long next;
    private long floor;
    private long floorVersion = Transaction.ABSENT_VERSION;
    private long gapFloorVersion = NO_GAP;

    LogPosition(LogKeys keys) {
        this.keys = keys;
    }

    // -- accessors

    /** Returns the sequence of the next row to read. */
    long next() {
        return next;
    }

    /** Returns the sequence of the first retained row. */
    long floor() {
        return floor;
    }

    boolean isNext(String rowKey) {
        return keys.sequence(rowKey) == next;
    }

    /** Tells whether this position is up to date with floor and tail rows that were read later. */
    boolean matches(LogBounds bounds) {
        return bounds.matches(keys, floorVersion, next);
    }

    // -- calls

    TableCall readFloor() {
        return new TableCall.Read(keys.floor());
    }

    TableCall scan() {
        return new TableCall.Scan(keys.row(next), keys.afterRows(), SCAN_ROWS);
    }

    /** Tells whether a scan returned as many rows as it may, so that there may be more. */
    boolean isFullScan(int rows) {
        return rows == SCAN_ROWS;
    }

    TableCall append(LogBatch batch) {
        return new TableCall.Commit(batch.append(keys, floorVersion));
    }

    TableCall trim(long newFloor) {
        Transaction transaction =
                Transaction.empty().require(keys.floor(), floorVersion).put(keys.floor(), LogKeys.encode(newFloor));
        for (long sequence = floor; sequence < newFloor; sequence++) {
            transaction = transaction.delete(keys.row(sequence));
        }
        return new TableCall.Commit(transaction);
    }

    // -- updates

    void advance() {
        next++;
    }

    /** Updates the floor, and tells whether unread rows lie below it. */
    boolean raiseFloor(long newFloor, long version) {
        floor = newFloor;
        floorVersion = version;
        boolean skipped = newFloor > next;
        next = Math.max(next, newFloor);
        return skipped;
    }

    /** Records a gap, and tells whether it persists at an unchanged floor, which means that the log has lost rows. */
    boolean recordGap() {
        boolean persists = gapFloorVersion == floorVersion;
        gapFloorVersion = floorVersion;
        return persists;
    }

    void clearGap() {
        gapFloorVersion = NO_GAP;
    }
}
