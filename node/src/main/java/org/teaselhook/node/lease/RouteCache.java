package org.teaselhook.node.lease;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.wire.RouteDocument;

/**
 * The agent's copy of the operators' routes. The agent itself needs only the zones that are out, which every pulse of
 * an entry lists. The whole document is kept for entries that cannot read the store, such as those that restart during
 * an outage of the store, and may therefore be some seconds old. The rate of fetches is limited, as routes may change
 * three times a second, and the links of small VMs cannot carry every change to every agent. Confined to the control
 * thread.
 */
final class RouteCache {

    /** Minimum interval between two fetches of the document, in ns: a burst of changes causes only a few. */
    private static final long FETCH_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private long latestVersion;
    private Set<String> zonesOut = Set.of();
    private Optional<RouteDocument> document = Optional.empty();
    private boolean hasFetched;
    private long lastFetchAt;

    // -- accessors

    /** Returns the newest version that an entry has advertised. */
    long latestVersion() {
        return latestVersion;
    }

    boolean isZoneOut(String zone) {
        return zonesOut.contains(zone);
    }

    /** Returns the document, if it is newer than the given version. */
    Optional<RouteDocument> newerThan(long heldVersion) {
        return document.filter(held -> held.getVersion() > heldVersion);
    }

    /** Returns the version of the document, 0 if there is none. */
    long documentVersion() {
        return document.map(RouteDocument::getVersion).orElse(0L);
    }

    boolean isFetchDue(long nowNanos) {
        return isOutdated() && (!hasFetched || nowNanos - lastFetchAt >= FETCH_INTERVAL_NANOS);
    }

    /** Tells whether an entry has advertised a newer version than the document has. */
    boolean isOutdated() {
        return documentVersion() < latestVersion;
    }

    // -- updates

    /** Records what an entry advertises, and tells whether the zones that are out have changed. */
    boolean noteVersion(long advertisedVersion, Set<String> advertisedZonesOut) {
        if (advertisedVersion <= latestVersion) {
            return false;
        }
        boolean changed = !zonesOut.equals(advertisedZonesOut);
        latestVersion = advertisedVersion;
        zonesOut = advertisedZonesOut;
        return changed;
    }

    void fetchStarted(long nowNanos) {
        hasFetched = true;
        lastFetchAt = nowNanos;
    }

    void store(RouteDocument newer) {
        if (newer.getVersion() > documentVersion()) {
            document = Optional.of(newer);
        }
    }
}
