package org.teaselhook.core.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;

/**
 * Chooses the entry at which a key is best claimed, by rendezvous hashing over the live entries.
 *
 * <p>Keys of one shard share their home, so that one entry appends to the shard's log. Entries that disagree on who is
 * live still never both win a key.
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
        long shardHash = Mixer.mix(Shards.of(key));
        return liveEntries.stream().max(Comparator.comparingLong(entry -> Mixer.mix(shardHash ^ entry.value())));
    }
}
