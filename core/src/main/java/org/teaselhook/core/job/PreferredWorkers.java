package org.teaselhook.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Partitions the workers among the entries: each entry tries its own share first. Otherwise, under load that fills the
 * fleet, entries that choose the least loaded worker by state some milliseconds old all choose the same one, and all
 * but the first are refused. The partition is only a preference: what does not fit there goes to any worker.
 */
final class PreferredWorkers {

    /** By hash, as kinds of workers often follow the numbers in their names: no entry gets all workers of one kind. */
    private static final Comparator<String> BY_HASH =
            Comparator.comparingInt(PreferredWorkers::hash).thenComparing(Comparator.naturalOrder());

    private PreferredWorkers() {}

    /**
     * Returns the workers that an entry prefers. Entries that know the same names compute disjoint sets, whose sizes
     * differ by at most one.
     *
     * @param self the entry's name
     * @param entries the names of the live entries
     * @param workers the names of the workers
     * @return the names of the preferred workers; empty if the entry is not among the live ones
     */
    static Set<String> of(String self, Collection<String> entries, Collection<String> workers) {
        List<String> sortedEntries = entries.stream().distinct().sorted(BY_HASH).toList();
        List<String> sortedWorkers = workers.stream().distinct().sorted(BY_HASH).toList();
        Set<String> preferred = new HashSet<>();
        int index = sortedEntries.indexOf(self);
        if (index >= 0) {
            for (int i = index; i < sortedWorkers.size(); i += sortedEntries.size()) {
                preferred.add(sortedWorkers.get(i));
            }
        }
        return preferred;
    }

    /** Mixes the bits of the hash code, whose lowest bits depend on the last character only. */
    private static int hash(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }
}
