package org.teaselhook.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.agrona.collections.Object2ObjectHashMap;
import org.teaselhook.core.id.Incarnation;

/**
 * The claims of one shard's retained rows.
 */
final class HeldKeys {

    private final Object2ObjectHashMap<String, Held> byKey = new Object2ObjectHashMap<>();
    private final Deque<RetainedRow> rows = new ArrayDeque<>();

    /**
     * One retained row.
     *
     * @param sequence its sequence
     * @param writer the incarnation that claimed its keys
     * @param ageFromMillis the wall-clock time from which its age counts
     * @param readNanos the monotonic time at which it was first sent or read here
     * @param keys its keys
     */
    record RetainedRow(long sequence, Incarnation writer, long ageFromMillis, long readNanos, String[] keys) {}

    /**
     * One held key.
     *
     * @param row the row that claimed it
     * @param bodyDigest the digest of the request's body
     * @param abandoned whether its holder, this incarnation, never started it under the claim
     */
    record Held(RetainedRow row, long bodyDigest, boolean abandoned) {}

    Optional<Held> find(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Adds a row above all others; a key that an older row claimed as well belongs to the new row. */
    RetainedRow add(long sequence, ClaimRow row, ClockReading now) {
        long ageFromMillis = Math.min(row.wallMillis(), now.wallMillis());
        String[] keys = row.claims().stream().map(ClaimRow.Claim::key).toArray(String[]::new);
        RetainedRow retained = new RetainedRow(sequence, row.writer(), ageFromMillis, now.nanos(), keys);
        rows.addLast(retained);
        row.claims().forEach(claim -> byKey.put(claim.key(), new Held(retained, claim.bodyDigest(), false)));
        return retained;
    }

    void abandon(String key) {
        byKey.computeIfPresent(key, (k, held) -> new Held(held.row(), held.bodyDigest(), true));
    }

    void takeUp(String key) {
        byKey.computeIfPresent(key, (k, held) -> new Held(held.row(), held.bodyDigest(), false));
    }

    void forgetBelow(long floor) {
        while (!rows.isEmpty() && rows.peekFirst().sequence() < floor) {
            forget(rows.pollFirst());
        }
    }

    private void forget(RetainedRow row) {
        for (String key : row.keys()) {
            Held held = byKey.get(key);
            if (held != null && held.row() == row) {
                byKey.remove(key);
            }
        }
    }

    /** Returns the floor after deletion of at most {@code maxRows} rows whose age counts from before a time. */
    long floorAfterTrim(long beforeMillis, int maxRows, long floor) {
        return rows.stream()
                .limit(maxRows)
                .takeWhile(row -> row.ageFromMillis() < beforeMillis)
                .mapToLong(row -> row.sequence() + 1)
                .reduce(floor, (last, next) -> next);
    }

    boolean newestIsBy(Incarnation writer) {
        return !rows.isEmpty() && rows.peekLast().writer().equals(writer);
    }

    int size() {
        return byKey.size();
    }
}
