package org.teaselhook.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;

/**
 * The entries that may accept configuration changes, with the time of the last report from each. Distinguishes an
 * outage of the table service from a network partition: while every known entry answers and none reports a newer
 * version, no change can have been accepted unnoticed. Confined to one thread.
 *
 * <p>A missing entry may have terminated, or may still reach the table service from the other side of a partition. It
 * blocks confirmation until {@link #MISSING_TIMEOUT_NANOS} have passed since it was last seen; after that a majority of
 * the entries in the last listing of the table service may confirm without it. A minority waits for the table service.
 *
 * <p>All times are nanoseconds of this process's monotonic clock.
 */
final class EntryQuorum {

    /** The time for which a missing entry blocks confirmation. */
    static final long MISSING_TIMEOUT_NANOS = 10_000_000_000L;

    private final Map<String, PeerState> peers = new HashMap<>();
    private final String self;
    private Set<String> voters = Set.of();
    private boolean listKnown;
    private boolean evaluated;
    private long lastEvaluatedNanos;
    private long observedSinceNanos;

    private record PeerState(Incarnation incarnation, boolean leaving, boolean reporting, long lastSeenNanos) {}

    EntryQuorum(String self) {
        this.self = Objects.requireNonNull(self, "self is null");
    }

    // -- updates

    /**
     * Replaces the voters by the live entries that a scan of the table service listed. Other entries count only while
     * they report.
     */
    void scanned(Collection<KnownEntry> live, long sentNanos) {
        replaceVoters(live);
        peers.entrySet().removeIf(peer -> !voters.contains(peer.getKey()) && isStale(peer.getValue(), sentNanos));
        live.forEach(entry -> addListed(entry, sentNanos));
    }

    /** Adopts the entries that a peer knows, unless this process has a list already. */
    void learnedFromPeer(Collection<KnownEntry> known, long nowNanos) {
        if (!listKnown && !known.isEmpty()) {
            replaceVoters(known);
            known.forEach(entry -> addListed(entry, nowNanos));
        }
    }

    /** Adds an entry that connected to this one and has not answered a heartbeat yet. */
    void peerConnected(KnownEntry entry, long nowNanos) {
        peers.putIfAbsent(entry.name(), new PeerState(entry.run(), false, false, nowNanos));
    }

    private void replaceVoters(Collection<KnownEntry> entries) {
        Set<String> names = new HashSet<>();
        entries.forEach(entry -> names.add(entry.name()));
        voters = Set.copyOf(names);
        listKnown = true;
    }

    /** A reporting incarnation takes precedence over a listed one, whose row may be that of an earlier one. */
    private void addListed(KnownEntry entry, long asOfNanos) {
        if (entry.name().equals(self)) {
            return;
        }
        PeerState previous = peers.get(entry.name());
        if (previous == null || !previous.reporting() || isStale(previous, asOfNanos)) {
            peers.put(entry.name(), new PeerState(entry.run(), false, false, asOfNanos));
        }
    }

    /** Records that a peer sent a report at or after an instant. */
    void reported(KnownEntry entry, boolean leaving, long asOfNanos) {
        PeerState previous = peers.get(entry.name());
        if (previous == null || !previous.reporting() || asOfNanos - previous.lastSeenNanos() >= 0) {
            peers.put(entry.name(), new PeerState(entry.run(), leaving, true, asOfNanos));
        }
    }

    // -- decisions

    /**
     * Returns an instant as of which no other entry held a version newer than the newest one known to this process.
     *
     * @param nowNanos the current time
     * @return the instant, or empty if an entry that may have accepted a change is missing
     */
    OptionalLong confirmedAsOf(long nowNanos) {
        restartWaitAfterPause(nowNanos);
        long oldestReportNanos = nowNanos;
        int votes = voters.contains(self) ? 1 : 0;
        int active = 0;
        boolean timedOut = false;
        for (Map.Entry<String, PeerState> peer : peers.entrySet()) {
            PeerState peerState = peer.getValue();
            if (isActive(peerState, nowNanos)) {
                active++;
                votes += voters.contains(peer.getKey()) ? 1 : 0;
                oldestReportNanos = oldestReportNanos - peerState.lastSeenNanos() > 0
                        ? peerState.lastSeenNanos()
                        : oldestReportNanos;
            } else if (isTimedOut(peerState, nowNanos)) {
                timedOut = true;
            } else if (!peerState.leaving()) {
                return OptionalLong.empty();
            }
        }
        boolean confirmed = listKnown && active > 0 && (!timedOut || 2 * votes > voters.size());
        return confirmed ? OptionalLong.of(oldestReportNanos) : OptionalLong.empty();
    }

    /** Restarts the wait for missing entries after this process was suspended or received no reports. */
    private void restartWaitAfterPause(long nowNanos) {
        if (!evaluated || nowNanos - lastEvaluatedNanos > Freshness.CONFIRMATION_VALID_NANOS) {
            observedSinceNanos = nowNanos;
        }
        evaluated = true;
        lastEvaluatedNanos = nowNanos;
    }

    private boolean isTimedOut(PeerState peerState, long nowNanos) {
        return !peerState.leaving()
                && nowNanos - peerState.lastSeenNanos() > MISSING_TIMEOUT_NANOS
                && nowNanos - observedSinceNanos > MISSING_TIMEOUT_NANOS;
    }

    private static boolean isActive(PeerState peerState, long nowNanos) {
        return peerState.reporting() && !isStale(peerState, nowNanos);
    }

    private static boolean isStale(PeerState peerState, long nowNanos) {
        return nowNanos - peerState.lastSeenNanos() > Freshness.CONFIRMATION_VALID_NANOS;
    }

    // -- accessors

    /** Tells whether the list of entries is known. */
    boolean isLoaded() {
        return listKnown;
    }

    /** Returns the voters, including this entry, with the newest known incarnation of each. */
    List<KnownEntry> voters(Incarnation selfIncarnation) {
        List<KnownEntry> result = new ArrayList<>();
        for (String name : voters) {
            PeerState peerState = peers.get(name);
            if (name.equals(self)) {
                result.add(new KnownEntry(self, selfIncarnation));
            } else if (peerState != null) {
                result.add(new KnownEntry(name, peerState.incarnation()));
            }
        }
        return result;
    }

    /**
     * Returns the names of entries that are not stopping and have not reported for
     * {@link Freshness#CONFIRMATION_VALID_NANOS}.
     */
    List<String> missing(long nowNanos) {
        return peers.entrySet().stream()
                .filter(peer -> !peer.getValue().leaving() && !isActive(peer.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
