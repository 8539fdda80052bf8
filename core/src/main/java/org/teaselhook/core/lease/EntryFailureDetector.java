package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/**
 * Detects entries that have lost contact with this agent. Heartbeats carry a timestamp of the agent's clock that the
 * entry echoes; the time-out counts from the newest echoed timestamp, so that frames delayed in a buffer do not prolong
 * it. Confined to one thread.
 */
public final class EntryFailureDetector {

    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);

    private final Map<Incarnation, Long> newestEchoes = new HashMap<>();
    private long checkDueAt = Long.MAX_VALUE;

    private EntryFailureDetector() {}

    /**
     * Returns a detector that knows no entries.
     *
     * @return a new detector
     */
    public static EntryFailureDetector empty() {
        return new EntryFailureDetector();
    }

    /**
     * Returns when {@link #removeTimedOut} is due next.
     *
     * @return the time, before which no entry times out; {@link Long#MAX_VALUE} if none is known
     */
    public long checkDueAt() {
        return checkDueAt;
    }

    /**
     * Records an echoed timestamp, which arrived with a heartbeat or an order.
     *
     * @param entry the incarnation of the entry
     * @param echoNanos the echoed timestamp of this agent's clock
     */
    public void recordEcho(Incarnation entry, long echoNanos) {
        newestEchoes.merge(entry, echoNanos, (known, next) -> next - known > 0 ? next : known);
        checkDueAt = Math.min(checkDueAt, firstTimedOutAt(echoNanos));
    }

    /**
     * Removes and returns the entries that have timed out. Their runs must be stopped, because callers may soon resend
     * the jobs to other entries. An entry is returned again only if it echoes and times out again.
     *
     * @param nowNanos the present time
     * @return the incarnations of the entries
     */
    public List<Incarnation> removeTimedOut(long nowNanos) {
        List<Incarnation> timedOut = new ArrayList<>();
        Iterator<Map.Entry<Incarnation, Long>> remaining =
                newestEchoes.entrySet().iterator();
        while (remaining.hasNext()) {
            Map.Entry<Incarnation, Long> next = remaining.next();
            if (isTimedOut(next.getValue(), nowNanos)) {
                timedOut.add(next.getKey());
                remaining.remove();
            }
        }
        checkDueAt = newestEchoes.values().stream()
                .mapToLong(EntryFailureDetector::firstTimedOutAt)
                .min()
                .orElse(Long.MAX_VALUE);
        return timedOut;
    }

    /**
     * Tells whether an order must be refused because the timestamp that it echoes is too old.
     *
     * @param echoNanos the echoed timestamp of this agent's clock
     * @param nowNanos the present time
     * @return true if it is older than the time-out, or in the future
     */
    public static boolean isStale(long echoNanos, long nowNanos) {
        return nowNanos - echoNanos < 0 || isTimedOut(echoNanos, nowNanos);
    }

    /**
     * Returns the latest time at which a run may start whose order echoes a timestamp.
     *
     * @param echoNanos the echoed timestamp of this agent's clock
     * @return the time on this agent's clock
     */
    public static long latestStart(long echoNanos) {
        return echoNanos + TIMEOUT_NANOS;
    }

    private static long firstTimedOutAt(long echoNanos) {
        return latestStart(echoNanos) + 1;
    }

    private static boolean isTimedOut(long echoNanos, long nowNanos) {
        return nowNanos - latestStart(echoNanos) > 0;
    }
}
