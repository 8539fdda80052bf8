package org.teaselhook.node.peer;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/**
 * Remembers which incarnations of other entries may hold claims that this entry has not read: all that were seen since
 * the log of claims was last read to its end while the set of live entries was stable. Confined to the control thread.
 */
final class KnownIncarnations {

    /** How long the log must stay current and the set of live entries stable before lost incarnations are dropped. */
    static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private Set<Incarnation> required = Set.of();
    private Set<Incarnation> lastLive = Set.of();
    private long stableSince;
    private boolean wasLogCurrent;
    private boolean settledOnce;

    /** Records the live incarnations; {@code logCurrent} tells whether the log of claims is read to its end. */
    void observe(long nowNanos, Set<Incarnation> live, boolean logCurrent) {
        require(live);
        boolean stable = logCurrent && wasLogCurrent && live.equals(lastLive);
        if (!stable) {
            lastLive = live;
            stableSince = nowNanos;
        }
        wasLogCurrent = logCurrent;
        if (stable && nowNanos - stableSince >= SETTLE_NANOS) {
            required = live;
            settledOnce = true;
        }
    }

    private void require(Set<Incarnation> live) {
        if (!required.containsAll(live)) {
            Set<Incarnation> union = new HashSet<>(required);
            union.addAll(live);
            required = Set.copyOf(union);
        }
    }

    /** Tells whether every incarnation that may hold claims unknown to this entry is live. */
    boolean allKnownLive(Set<Incarnation> live) {
        return settledOnce && live.containsAll(required);
    }
}
