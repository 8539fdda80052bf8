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
 * Chooses the entries that an agent connects to, by rendezvous hashing: each agent ranks the entries in an order of its
 * own, so that all agents together spread evenly, and an entry that comes or goes moves only the connections that are
 * its share. At most half of the chosen entries, rounded up, are in one zone while other zones have enough of them.
 */
final class EntryChoice {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final String agent;
    private final int connected;

    /**
     * Creates the choice of one agent.
     *
     * @param agent the agent's name
     * @param connected how many entries are chosen at most
     */
    EntryChoice(String agent, int connected) {
        this.agent = agent;
        this.connected = connected;
    }

    /** Returns the chosen ones of some entries: all, if they are not too many. */
    Set<InetSocketAddress> choose(Collection<KnownEntry> entries) {
        List<KnownEntry> ranked = entries.stream()
                .map(entry -> new Ranked(score(entry), entry))
                .sorted(Comparator.comparingLong(Ranked::score).reversed())
                .map(Ranked::entry)
                .toList();
        Set<InetSocketAddress> chosen = new LinkedHashSet<>();
        Map<String, Integer> inZone = new HashMap<>();
        for (KnownEntry entry : ranked) {
            if (chosen.size() < connected && inZone.merge(entry.zone(), 1, Integer::sum) <= zoneLimit()) {
                chosen.add(entry.address());
            }
        }
        for (KnownEntry entry : ranked) {
            if (chosen.size() < connected) {
                chosen.add(entry.address());
            }
        }
        return chosen;
    }

    private int zoneLimit() {
        return (connected + 1) / 2;
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

    /** Spreads the bits of a hash, as the last step of the generator SplitMix64 does. */
    private static long mix(long hash) {
        long z = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
