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
 * The entries that may accept changes of the configuration, and when each last spoke. Tells an outage of the table
 * service from a cut of the network: while every known entry answers and none names a newer version, no change can have
 * been accepted unnoticed. Confined to one thread.
 *
 * <p>An entry that is missing may be dead, or may still reach the table service from behind a cut. It holds the others
 * back until {@link #GIVE_UP_NANOS} have passed since its last sign of life; after that a majority of the entries that
 * the table service listed last goes on without it. A minority waits for the table service.
 *
 * <p>All times are nanoseconds of this process's monotonic clock.
 */
final class EntryGroup {

    /** How long a missing entry holds the others back. */
    static final long GIVE_UP_NANOS = 10_000_000_000L;

    private final Map<String, Known> others = new HashMap<>();
    private final String self;
    private Set<String> voters = Set.of();
    private boolean loaded;
    private boolean asked;
    private long askedNanos;
    private long waitFromNanos;

    private record Known(Incarnation run, boolean leaving, boolean heard, long lastSignNanos) {}

    EntryGroup(String self) {
        this.self = Objects.requireNonNull(self, "self is null");
    }

    // -- events

    /** Takes the live entries that a scan of the table service listed; others count only while they speak. */
    void scanned(Collection<KnownEntry> live, long askedNanos) {
        replaceVoters(live);
        others.entrySet().removeIf(other -> !voters.contains(other.getKey()) && isSilent(other.getValue(), askedNanos));
        live.forEach(entry -> listed(entry, askedNanos));
    }

    /** Takes the entries that a peer knows, unless this entry knows them itself. */
    void inherited(Collection<KnownEntry> known, long nowNanos) {
        if (!loaded && !known.isEmpty()) {
            replaceVoters(known);
            known.forEach(entry -> listed(entry, nowNanos));
        }
    }

    /** Takes an entry that dialed this one, and from which no answer to a heartbeat has come yet. */
    void dialedBy(KnownEntry entry, long nowNanos) {
        others.putIfAbsent(entry.name(), new Known(entry.run(), false, false, nowNanos));
    }

    private void replaceVoters(Collection<KnownEntry> entries) {
        Set<String> names = new HashSet<>();
        entries.forEach(entry -> names.add(entry.name()));
        voters = Set.copyOf(names);
        loaded = true;
    }

    /** A run that speaks counts before one that is only listed, whose row may be that of an earlier run. */
    private void listed(KnownEntry entry, long asOfNanos) {
        if (entry.name().equals(self)) {
            return;
        }
        Known earlier = others.get(entry.name());
        if (earlier == null || !earlier.heard() || isSilent(earlier, asOfNanos)) {
            others.put(entry.name(), new Known(entry.run(), false, false, asOfNanos));
        }
    }

    /** Notes that a peer spoke after an instant. */
    void heard(KnownEntry entry, boolean leaving, long asOfNanos) {
        Known earlier = others.get(entry.name());
        if (earlier == null || !earlier.heard() || asOfNanos - earlier.lastSignNanos() >= 0) {
            others.put(entry.name(), new Known(entry.run(), leaving, true, asOfNanos));
        }
    }

    // -- decisions

    /**
     * Returns an instant as of which no other entry held a newer version than the newest that was heard of.
     *
     * @param nowNanos the present time
     * @return the instant, or empty if an entry that may have accepted a change is missing
     */
    OptionalLong silentAsOf(long nowNanos) {
        noticePause(nowNanos);
        long oldestNanos = nowNanos;
        int votes = voters.contains(self) ? 1 : 0;
        int present = 0;
        boolean givenUp = false;
        for (Map.Entry<String, Known> other : others.entrySet()) {
            Known known = other.getValue();
            if (isPresent(known, nowNanos)) {
                present++;
                votes += voters.contains(other.getKey()) ? 1 : 0;
                oldestNanos = oldestNanos - known.lastSignNanos() > 0 ? known.lastSignNanos() : oldestNanos;
            } else if (isGivenUp(known, nowNanos)) {
                givenUp = true;
            } else if (!known.leaving()) {
                return OptionalLong.empty();
            }
        }
        boolean mayGoOn = loaded && present > 0 && (!givenUp || 2 * votes > voters.size());
        return mayGoOn ? OptionalLong.of(oldestNanos) : OptionalLong.empty();
    }

    /** Time in which this process did not run, or heard nobody, is not spent waiting for a missing entry. */
    private void noticePause(long nowNanos) {
        if (!asked || nowNanos - askedNanos > Freshness.FRESH_NANOS) {
            waitFromNanos = nowNanos;
        }
        asked = true;
        askedNanos = nowNanos;
    }

    private boolean isGivenUp(Known known, long nowNanos) {
        return !known.leaving()
                && nowNanos - known.lastSignNanos() > GIVE_UP_NANOS
                && nowNanos - waitFromNanos > GIVE_UP_NANOS;
    }

    private static boolean isPresent(Known known, long nowNanos) {
        return known.heard() && !isSilent(known, nowNanos);
    }

    private static boolean isSilent(Known known, long nowNanos) {
        return nowNanos - known.lastSignNanos() > Freshness.FRESH_NANOS;
    }

    // -- accessors

    /** Tells whether this entry knows which entries there are. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns the voters other than this entry with the newest run known of each. */
    List<KnownEntry> voters(Incarnation selfRun) {
        List<KnownEntry> result = new ArrayList<>();
        for (String name : voters) {
            Known known = others.get(name);
            if (name.equals(self)) {
                result.add(new KnownEntry(self, selfRun));
            } else if (known != null) {
                result.add(new KnownEntry(name, known.run()));
            }
        }
        return result;
    }

    /** Returns the names of entries that did not leave and have not spoken for {@link Freshness#FRESH_NANOS}. */
    List<String> missing(long nowNanos) {
        return others.entrySet().stream()
                .filter(other -> !other.getValue().leaving() && !isPresent(other.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
