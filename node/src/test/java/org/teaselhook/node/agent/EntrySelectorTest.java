package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class EntrySelectorTest {

    private static final int AGENTS = 3_600;

    // -- select

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{12, 3, 1}, {12, 3, 2}, {24, 3, 8}, {96, 24, 2}, {96, 24, 8}, {5, 2, 3}};
    }

    /** The bound is five standard deviations of a random distribution. */
    @Test(dataProvider = "sizes")
    public void shouldSpreadAgentsEvenly(int count, int zones, int maxEntries) {
        List<KnownEntry> entries = entries(count, zones);
        Map<InetSocketAddress, Integer> agents = new HashMap<>();
        for (int agent = 0; agent < AGENTS; agent++) {
            selector(agent, maxEntries).select(entries).forEach(address -> agents.merge(address, 1, Integer::sum));
        }
        double mean = (double) AGENTS * maxEntries / count;
        boolean equalZones = count % zones == 0;
        double deviations = equalZones ? 5 * Math.sqrt(mean) : mean / 2;
        entries.forEach(entry -> assertEquals(agents.get(entry.address()), mean, deviations));
    }

    @Test(dataProvider = "sizes")
    public void shouldSelectAtMostHalfFromOneZone(int count, int zones, int maxEntries) {
        List<KnownEntry> entries = entries(count, zones);
        for (int agent = 0; agent < AGENTS; agent++) {
            Set<InetSocketAddress> selected = selector(agent, maxEntries).select(entries);
            assertEquals(selected.size(), maxEntries);
            Map<String, Long> countByZone = entries.stream()
                    .filter(entry -> selected.contains(entry.address()))
                    .collect(Collectors.groupingBy(KnownEntry::zone, Collectors.counting()));
            countByZone
                    .values()
                    .forEach(zoneCount -> assertTrue(zoneCount <= (maxEntries + 1) / 2, countByZone.toString()));
        }
    }

    @Test
    public void shouldReplaceOnlyRemovedEntry() {
        List<KnownEntry> entries = entries(24, 3);
        List<KnownEntry> remaining = new ArrayList<>(entries);
        InetSocketAddress removed = remaining.remove(5).address();
        for (int agent = 0; agent < AGENTS; agent++) {
            Set<InetSocketAddress> before = selector(agent, 4).select(entries);
            Set<InetSocketAddress> after = selector(agent, 4).select(remaining);
            Set<InetSocketAddress> kept = new LinkedHashSet<>(before);
            kept.remove(removed);
            assertEquals(after.size(), 4);
            assertTrue(after.containsAll(kept), before + " became " + after);
        }
    }

    @DataProvider
    public Object[][] few() {
        return new Object[][] {{3, 8, 3}, {8, 8, 8}, {9, 8, 8}, {0, 8, 0}};
    }

    @Test(dataProvider = "few")
    public void shouldSelectAllEntriesUpToLimit(int count, int maxEntries, int expected) {
        assertEquals(selector(1, maxEntries).select(entries(count, 1)).size(), expected);
    }

    private static EntrySelector selector(int agent, int maxEntries) {
        return new EntrySelector("worker-" + agent, maxEntries);
    }

    private static List<KnownEntry> entries(int count, int zones) {
        return IntStream.range(0, count)
                .mapToObj(i -> new KnownEntry(
                        new InetSocketAddress("10.0." + i / 200 + "." + (1 + i % 200), 9_090), "zone-" + i % zones))
                .toList();
    }
}
