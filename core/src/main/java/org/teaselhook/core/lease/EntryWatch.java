package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/**
 * Which entries have heard from this agent of late. An entry counts from the instant at which this agent made the stamp
 * that the entry echoes, so that frames which lay in a buffer prove nothing. Confined to one thread.
 */
public final class EntryWatch {

    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_SILENCE_MILLIS);

    private final Map<Incarnation, Long> echoes = new HashMap<>();

    private EntryWatch() {}

    /**
     * Returns a watch that has heard nobody.
     *
     * @return a new watch
     */
    public static EntryWatch empty() {
        return new EntryWatch();
    }

    /**
     * Notes an echo, with a pulse or with an order.
     *
     * @param entry the run of the entry
     * @param echoNanos the time on this agent's clock that it echoes
     */
    public void echoed(Incarnation entry, long echoNanos) {
        echoes.merge(entry, echoNanos, (known, next) -> next - known > 0 ? next : known);
    }

    /**
     * Takes out the entries that have been silent for too long, whose runs must be stopped: their callers may send
     * their jobs to other entries soon. Each is returned once, and again only after it was heard again.
     *
     * @param nowNanos the present time
     * @return the entries
     */
    public List<Incarnation> takeSilent(long nowNanos) {
        List<Incarnation> silent = new ArrayList<>();
        Iterator<Map.Entry<Incarnation, Long>> all = echoes.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Incarnation, Long> next = all.next();
            if (isSilent(next.getValue(), nowNanos)) {
                silent.add(next.getKey());
                all.remove();
            }
        }
        return silent;
    }

    /**
     * Tells whether an echo is too old for an order to rest on.
     *
     * @param echoNanos the time on this agent's clock that is echoed
     * @param nowNanos the present time
     * @return true if it is older than the silence that is borne, or lies ahead
     */
    public static boolean isStale(long echoNanos, long nowNanos) {
        return nowNanos - echoNanos < 0 || isSilent(echoNanos, nowNanos);
    }

    private static boolean isSilent(long echoNanos, long nowNanos) {
        return nowNanos - echoNanos > SILENCE_NANOS;
    }
}
