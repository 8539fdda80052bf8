package org.teaselhook.core.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;

/**
 * Selects the preferred entry for claiming a key, by rendezvous hashing over the live entries.
 *
 * <p>All keys of a shard have the same home, so that usually one entry appends to the shard's log. This only avoids
 * conflicts: when entries disagree on which entries are live, still only one of them acquires a key.
 */
public final class HomeEntry {

    private HomeEntry() {}

    /**
     * Returns the home of a key.
     *
     * @param key the key
     * @param liveEntries the incarnations of the live entries
     * @return the home, or empty if no entry is live
     */
    public static Optional<Incarnation> of(String key, Collection<Incarnation> liveEntries) {
        long shardHash = SplitMix64.mix(Shards.of(key));
        return liveEntries.stream().max(Comparator.comparingLong(entry -> SplitMix64.mix(shardHash ^ entry.value())));
    }
}
