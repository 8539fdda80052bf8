package org.teaselhook.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Failure detector for entries. An entry is live if its row was observed to change within the last
 * {@link #LIVENESS_TIMEOUT_NANOS}, measured by this process's monotonic clock; clocks of other processes are not used.
 * Confined to one thread.
 *
 * <p>While the table service is unavailable no change can be observed, so observation pauses: entries that were live at
 * the last scan remain live until scans succeed again.
 */
public final class Membership {

    /** The time for which an entry is live after a change of its row. */
    public static final long LIVENESS_TIMEOUT_NANOS = 7_000_000_000L;

    /** The time for which the row of an entry must be unchanged before it may be deleted. */
    public static final long ROW_RETENTION_NANOS = 60_000_000_000L;

    private final Map<String, Observation> observations = new HashMap<>();
    private long lastScanNanos;
    private boolean scanned;

    private Membership() {}

    private record Observation(Member member, long changedNanos) {}

    // -- factories

    /**
     * Returns a state without entries.
     *
     * @return a new state
     */
    public static Membership empty() {
        return new Membership();
    }

    // -- updates

    /**
     * Records the result of a scan of all entries' rows. A result older than the last recorded one is ignored.
     *
     * @param members the rows
     * @param nowNanos the time of the scan
     */
    public void scanned(Collection<Member> members, long nowNanos) {
        Objects.requireNonNull(members, "members is null");
        if (scanned && nowNanos - lastScanNanos < 0) {
            return;
        }
        long pauseNanos = scanned ? Math.max(0, nowNanos - lastScanNanos - LIVENESS_TIMEOUT_NANOS / 2) : 0;
        Map<String, Observation> next = new HashMap<>();
        members.forEach(member -> next.put(member.name(), observe(member, nowNanos, pauseNanos)));
        observations.clear();
        observations.putAll(next);
        lastScanNanos = nowNanos;
        scanned = true;
    }

    private Observation observe(Member member, long nowNanos, long pauseNanos) {
        Observation previous = observations.get(member.name());
        if (previous == null || member.differsFrom(previous.member())) {
            return new Observation(member, nowNanos);
        }
        return new Observation(member, previous.changedNanos() + pauseNanos);
    }

    // -- accessors

    /**
     * Returns the live entries.
     *
     * @return their last observed rows, ordered by name
     */
    public List<Member> live() {
        return select(0, LIVENESS_TIMEOUT_NANOS);
    }

    /**
     * Returns the entries whose rows have been unchanged for so long that they may be deleted.
     *
     * @return their last observed rows, ordered by name
     */
    public List<Member> expired() {
        return select(ROW_RETENTION_NANOS, Long.MAX_VALUE);
    }

    private List<Member> select(long minNanos, long maxNanos) {
        List<Member> result = new ArrayList<>();
        for (Observation observation : observations.values()) {
            long unchangedNanos = lastScanNanos - observation.changedNanos();
            if (unchangedNanos >= minNanos && unchangedNanos <= maxNanos) {
                result.add(observation.member());
            }
        }
        result.sort(Comparator.comparing(Member::name));
        return List.copyOf(result);
    }
}
