package org.teaselhook.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Tells live entries from dead ones. An entry is live while its row was seen to change within {@link #LIVE_NANOS} of
 * this process's own monotonic clock; no foreign clock is compared. Confined to one thread.
 *
 * <p>While the table service is out of order nothing can be seen to change, so observation pauses: entries that were
 * live at the last scan stay so until scans succeed again.
 */
public final class Membership {

    /** How long an entry is live after a change. */
    public static final long LIVE_NANOS = 7_000_000_000L;

    /** How long the row of a dead entry is left alone before it may be deleted. */
    public static final long FORGET_NANOS = 60_000_000_000L;

    private final Map<String, Seen> seen = new HashMap<>();
    private long lastScanNanos;
    private boolean scanned;

    private Membership() {}

    private record Seen(Member member, long changedNanos) {}

    // -- factories

    /**
     * Returns a state that has seen nobody.
     *
     * @return a new state
     */
    public static Membership empty() {
        return new Membership();
    }

    // -- events

    /**
     * Takes in the result of a scan of all entries' rows. One older than the last taken in is dropped.
     *
     * @param members what the rows say
     * @param nowNanos the time of the scan
     */
    public void scanned(Collection<Member> members, long nowNanos) {
        Objects.requireNonNull(members, "members is null");
        if (scanned && nowNanos - lastScanNanos < 0) {
            return;
        }
        long pauseNanos = scanned ? Math.max(0, nowNanos - lastScanNanos - LIVE_NANOS / 2) : 0;
        Map<String, Seen> next = new HashMap<>();
        members.forEach(member -> next.put(member.name(), observe(member, nowNanos, pauseNanos)));
        seen.clear();
        seen.putAll(next);
        lastScanNanos = nowNanos;
        scanned = true;
    }

    private Seen observe(Member member, long nowNanos, long pauseNanos) {
        Seen earlier = seen.get(member.name());
        if (earlier == null || member.differsFrom(earlier.member())) {
            return new Seen(member, nowNanos);
        }
        return new Seen(member, earlier.changedNanos() + pauseNanos);
    }

    // -- accessors

    /**
     * Returns the entries that are live.
     *
     * @return what they said last, by name
     */
    public List<Member> live() {
        return select(0, LIVE_NANOS);
    }

    /**
     * Returns the entries that have been dead for so long that their rows may be deleted.
     *
     * @return what they said last, by name
     */
    public List<Member> forgettable() {
        return select(FORGET_NANOS, Long.MAX_VALUE);
    }

    private List<Member> select(long leastNanos, long greatestNanos) {
        List<Member> result = new ArrayList<>();
        for (Seen each : seen.values()) {
            long unchangedNanos = lastScanNanos - each.changedNanos();
            if (unchangedNanos >= leastNanos && unchangedNanos <= greatestNanos) {
                result.add(each.member());
            }
        }
        result.sort(Comparator.comparing(Member::name));
        return List.copyOf(result);
    }
}
