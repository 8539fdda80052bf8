package org.teaselhook.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Shares the workers out among the entries as homes: an entry turns to its own first. Answers load that fills the
 * fleet: entries that all choose the emptiest worker by views some milliseconds old choose the same one, and all but
 * the first are refused. Homes bind nobody; what does not fit there goes anywhere.
 */
final class HomeWorkers {

    /** Names are often numbered, and kinds of workers too: by hash, no entry gets all of one kind. */
    private static final Comparator<String> BY_HASH =
            Comparator.comparingInt(HomeWorkers::hash).thenComparing(Comparator.naturalOrder());

    private HomeWorkers() {}

    /**
     * Returns the homes of an entry. Entries that know the same names come to disjoint results that differ in size by
     * one at most.
     *
     * @param self the entry's name
     * @param entries the names of the live entries
     * @param workers the names of the workers
     * @return the names of the entry's own workers; empty if it is not among the live entries
     */
    static Set<String> of(String self, Collection<String> entries, Collection<String> workers) {
        List<String> dealers = entries.stream().distinct().sorted(BY_HASH).toList();
        List<String> dealt = workers.stream().distinct().sorted(BY_HASH).toList();
        Set<String> homes = new HashSet<>();
        int own = dealers.indexOf(self);
        if (own >= 0) {
            for (int i = own; i < dealt.size(); i += dealers.size()) {
                homes.add(dealt.get(i));
            }
        }
        return homes;
    }

    /** Spreads the hash of a text, whose lowest bits follow its last character. */
    private static int hash(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }
}
