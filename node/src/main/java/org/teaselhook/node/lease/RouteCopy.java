package org.teaselhook.node.lease;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.wire.RouteDocument;

/**
 * The agent's copy of the operators' decisions. It needs only the zones that are out, which every pulse names. The
 * whole it keeps for entries that the store turns away, and for a time when the store is down and entries start again;
 * so it may be some seconds old. Answers configurations that change three times a second on a site whose small links
 * cannot carry each of them to each agent. Confined to the control thread.
 */
final class RouteCopy {

    /** Between two fetches of the whole, in ns: a burst of changes is fetched a few times. */
    private static final long FETCH_NANOS = TimeUnit.SECONDS.toNanos(2);

    private long version;
    private Set<String> zonesOut = Set.of();
    private Optional<RouteDocument> document = Optional.empty();
    private boolean fetched;
    private long fetchedAt;

    // -- accessors

    /** The newest version that was heard of. */
    long version() {
        return version;
    }

    boolean isOut(String zone) {
        return zonesOut.contains(zone);
    }

    /** Returns the copy of the whole, if it is newer than the given version. */
    Optional<RouteDocument> newerThan(long other) {
        return document.filter(held -> held.getVersion() > other);
    }

    /** The version of the whole that is held, 0 if none. */
    long copyVersion() {
        return document.map(RouteDocument::getVersion).orElse(0L);
    }

    boolean isFetchDue(long nowNanos) {
        return isBehind() && (!fetched || nowNanos - fetchedAt >= FETCH_NANOS);
    }

    /** Whether decisions were heard of that the copy lacks. */
    boolean isBehind() {
        return copyVersion() < version;
    }

    // -- updates

    /** Notes an entry's word, and tells whether other zones are out by it. */
    boolean heard(long otherVersion, Set<String> otherZonesOut) {
        if (otherVersion <= version) {
            return false;
        }
        boolean changed = !zonesOut.equals(otherZonesOut);
        version = otherVersion;
        zonesOut = otherZonesOut;
        return changed;
    }

    void fetching(long nowNanos) {
        fetched = true;
        fetchedAt = nowNanos;
    }

    void received(RouteDocument newer) {
        if (newer.getVersion() > copyVersion()) {
            document = Optional.of(newer);
        }
    }
}
