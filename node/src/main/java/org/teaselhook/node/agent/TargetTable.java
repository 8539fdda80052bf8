package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The targets that have announced themselves. An announcement expires after 3 s. Confined to the control thread.
 */
final class TargetTable {

    static final long ANNOUNCEMENT_TTL_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, Target> targets = new LinkedHashMap<>();

    // -- accessors

    /** Returns the available target of a service with the fewest running tasks. */
    Optional<Target> leastLoaded(String service) {
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

    /** Records an announcement; returns true if it made a target available. */
    boolean announce(String name, String service, InetSocketAddress address, long nowNanos) {
        Target known = targets.get(name);
        if (known == null || !known.matches(service, address)) {
            known = new Target(name, service, address);
            targets.put(name, known);
        }
        return known.announced(nowNanos);
    }

    /** Marks a target as leaving; returns false if it is not known. */
    boolean withdraw(String name) {
        Target known = targets.get(name);
        if (known == null) {
            return false;
        }
        known.leave();
        return true;
    }

    /**
     * Marks targets whose announcement has expired as leaving, and removes leaving targets without running tasks.
     * Returns true if any became unavailable.
     */
    boolean removeExpired(long nowNanos) {
        boolean changed = false;
        for (Target target : targets.values()) {
            boolean expired = nowNanos - target.announcedNanos() > ANNOUNCEMENT_TTL_NANOS;
            changed |= expired && target.isAvailable();
            if (expired) {
                target.leave();
            }
        }
        targets.values().removeIf(target -> target.leaving() && target.running() == 0);
        return changed;
    }
}
