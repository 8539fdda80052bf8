package org.teaselhook.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.agrona.collections.Object2ObjectHashMap;
import org.teaselhook.core.id.Incarnation;

/**
 * The keys claimed by the retained rows of one shard.
 */
final class HeldKeys {

    private final Object2ObjectHashMap<String, HeldKey> byKey = new Object2ObjectHashMap<>();
    private final Deque<RetainedRow> rows = new ArrayDeque<>();

    /**
     * One retained row.
     *
     * @param sequence its sequence in the log
     * @param writer the incarnation that claimed its keys
     * @param ageFromMillis the wall-clock time from which its age is counted
     * @param readNanos the monotonic time at which this process first sent or read it
     * @param keys its keys
     */
    record RetainedRow(long sequence, Incarnation writer, long ageFromMillis, long readNanos, String[] keys) {}

    /**
     * One held key.
     *
     * @param row the row that claimed it
     * @param bodyDigest a digest of the request body
     * @param abandoned whether this incarnation holds the key but did not start the submission under the claim
     */
    record HeldKey(RetainedRow row, long bodyDigest, boolean abandoned) {}

    Optional<HeldKey> find(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Adds the row with the highest sequence. A key that an older row also claims is held by the new row. */
    RetainedRow add(long sequence, ClaimRow row, ClockReading now) {
        long ageFromMillis = Math.min(row.wallMillis(), now.wallMillis());
        String[] keys = row.claims().stream().map(ClaimRow.Claim::key).toArray(String[]::new);
        RetainedRow retained = new RetainedRow(sequence, row.writer(), ageFromMillis, now.nanos(), keys);
        rows.addLast(retained);
        row.claims().forEach(claim -> byKey.put(claim.key(), new HeldKey(retained, claim.bodyDigest(), false)));
        return retained;
    }

    void abandon(String key) {
        byKey.computeIfPresent(key, (k, held) -> new HeldKey(held.row(), held.bodyDigest(), true));
    }

    void reacquire(String key) {
        byKey.computeIfPresent(key, (k, held) -> new HeldKey(held.row(), held.bodyDigest(), false));
    }

    void removeBelow(long floor) {
        while (!rows.isEmpty() && rows.peekFirst().sequence() < floor) {
            remove(rows.pollFirst());
        }
    }

    private void remove(RetainedRow row) {
        for (String key : row.keys()) {
            HeldKey heldKey = byKey.get(key);
            if (heldKey != null && heldKey.row() == row) {
                byKey.remove(key);
            }
        }
    }

    /** Returns the floor after trimming at most {@code maxRows} rows whose age is counted from before a given time. */
    long floorAfterTrim(long beforeMillis, int maxRows, long floor) {
        return rows.stream()
                .limit(maxRows)
                .takeWhile(row -> row.ageFromMillis() < beforeMillis)
                .mapToLong(row -> row.sequence() + 1)
                .reduce(floor, (last, next) -> next);
    }

    boolean isNewestRowBy(Incarnation writer) {
        return !rows.isEmpty() && rows.peekLast().writer().equals(writer);
    }

    int size() {
        return byKey.size();
    }
}
