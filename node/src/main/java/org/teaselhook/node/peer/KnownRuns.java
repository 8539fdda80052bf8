package org.teaselhook.node.peer;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/**
 * Remembers which runs of other entries may hold claims that this entry has not read: all that were seen since the log
 * of claims was last read while the entries stayed the same. Confined to the control thread.
 */
final class KnownRuns {

    /** How long the log is read to its end, and the live entries stay the same, before lost ones are forgotten. */
    static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private Set<Incarnation> required = Set.of();
    private Set<Incarnation> settling = Set.of();
    private long settlingSince;
    private boolean wasCurrent;
    private boolean settledOnce;

    /** Takes the runs that are live now; {@code current} tells whether the log of claims is read to its end. */
    void observe(long nowNanos, Set<Incarnation> live, boolean current) {
        require(live);
        boolean same = current && wasCurrent && live.equals(settling);
        if (!same) {
            settling = live;
            settlingSince = nowNanos;
        }
        wasCurrent = current;
        if (same && nowNanos - settlingSince >= SETTLED_NANOS) {
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

    /** Tells whether every run that may hold claims unknown to this entry is live. */
    boolean noneLost(Set<Incarnation> live) {
        return settledOnce && live.containsAll(required);
    }
}
