package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The targets that have announced themselves. An announcement lapses after 3 s. Confined to the control thread.
 */
final class TargetTable {

    static final long LAPSE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, Target> targets = new LinkedHashMap<>();

    // -- accessors

    /** Returns the available target of a service with the fewest tasks. */
    Optional<Target> choose(String service) {
        return targets.values().stream()
                .filter(target -> target.isAvailable() && target.service().equals(service))
                .min(Comparator.comparingInt(Target::running));
    }

    boolean anyAvailable() {
        return targets.values().stream().anyMatch(Target::isAvailable);
    }

    Collection<Target> all() {
        return targets.values();
    }

    // -- updates

    /** Notes an announcement, and returns true if a target has become available by it. */
    boolean announce(String name, String service, InetSocketAddress address, long nowNanos) {
        Target known = targets.get(name);
        if (known == null || !known.isSame(service, address)) {
            known = new Target(name, service, address);
            targets.put(name, known);
        }
        return known.announced(nowNanos);
    }

    /** Notes that a target leaves, and returns false if it is not known. */
    boolean withdraw(String name) {
        Target known = targets.get(name);
        if (known == null) {
            return false;
        }
        known.leave();
        return true;
    }

    /** Drops targets whose announcement has lapsed and that run nothing, and returns true if any became unavailable. */
    boolean lapse(long nowNanos) {
        boolean changed = false;
        for (Target target : targets.values()) {
            boolean lapsed = nowNanos - target.announcedNanos() > LAPSE_NANOS;
            changed |= lapsed && target.isAvailable();
            if (lapsed) {
                target.leave();
            }
        }
        targets.values().removeIf(target -> target.leaving() && target.running() == 0);
        return changed;
    }
}
