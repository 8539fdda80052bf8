package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.teaselhook.node.settings.SocketAddresses;

/**
 * Selects the entries that an agent connects to, by rendezvous hashing: each agent ranks the entries differently, so
 * that connections spread evenly over the entries, and adding or removing an entry moves only its share of them. At
 * most half of the selected entries, rounded up, are in one zone, as long as the other zones have enough entries.
 */
final class EntrySelector {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final String agent;
    private final int maxEntries;

    /**
     * Creates the selector of one agent.
     *
     * @param agent the agent's name
     * @param maxEntries the maximum number of entries to select
     */
    EntrySelector(String agent, int maxEntries) {
        this.agent = agent;
        this.maxEntries = maxEntries;
    }

    /** Returns the selected entries; all of them if there are no more than the maximum. */
    Set<InetSocketAddress> select(Collection<KnownEntry> entries) {
        List<KnownEntry> ranked = entries.stream()
                .map(entry -> new Ranked(score(entry), entry))
                .sorted(Comparator.comparingLong(Ranked::score).reversed())
                .map(Ranked::entry)
                .toList();
        Set<InetSocketAddress> selected = new LinkedHashSet<>();
        Map<String, Integer> countByZone = new HashMap<>();
        for (KnownEntry entry : ranked) {
            if (selected.size() < maxEntries && countByZone.merge(entry.zone(), 1, Integer::sum) <= zoneLimit()) {
                selected.add(entry.address());
            }
        }
        for (KnownEntry entry : ranked) {
            if (selected.size() < maxEntries) {
                selected.add(entry.address());
            }
        }
        return selected;
    }

    private int zoneLimit() {
        return (maxEntries + 1) / 2;
    }

    private long score(KnownEntry entry) {
        return mix(hash(agent) ^ mix(hash(SocketAddresses.format(entry.address()))));
    }

    private record Ranked(long score, KnownEntry entry) {}

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Mixes the bits of a hash with the finalizer of SplitMix64. */
    private static long mix(long hash) {
        long z = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
