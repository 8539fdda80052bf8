package org.teaselhook.core.claim;

import org.teaselhook.core.table.Transaction;

/**
 * How far one shard's log was read, and under which floor.
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

    /** Returns the sequence of the first row that was not read. */
    long next() {
        return next;
    }

    /** Returns the sequence of the first row retained. */
    long floor() {
        return floor;
    }

    boolean isNext(String rowKey) {
        return keys.sequence(rowKey) == next;
    }

    /** Tells whether nothing was missed, by the floor and tail rows as read later. */
    boolean matches(LogHeads heads) {
        return heads.matches(keys, floorVersion, next);
    }

    // -- calls

    TableCall readFloor() {
        return new TableCall.Read(keys.floor());
    }

    TableCall scan() {
        return new TableCall.Scan(keys.row(next), keys.afterRows(), SCAN_ROWS);
    }

    /** Tells whether a scan with this many rows may not have reached the end. */
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

    // -- changes

    void advance() {
        next++;
    }

    /** Takes a floor that was read, and tells whether it lies above all rows that were read. */
    boolean raiseFloor(long read, long version) {
        floor = read;
        floorVersion = version;
        boolean passed = read > next;
        next = Math.max(next, read);
        return passed;
    }

    /** Notes a gap, and tells whether it lasts: it closes with a newer floor unless the table service lost rows. */
    boolean gapLasts() {
        boolean lasts = gapFloorVersion == floorVersion;
        gapFloorVersion = floorVersion;
        return lasts;
    }

    void noGap() {
        gapFloorVersion = NO_GAP;
    }
}
