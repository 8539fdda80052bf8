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

public class EntryChoiceTest {

    private static final int AGENTS = 3_600;

    // -- choose

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{12, 3, 1}, {12, 3, 2}, {24, 3, 8}, {96, 24, 2}, {96, 24, 8}, {5, 2, 3}};
    }

    /** The bound is five standard deviations of a random spread. */
    @Test(dataProvider = "sizes")
    public void shouldSpreadAgentsEvenly(int count, int zones, int connected) {
        List<KnownEntry> entries = entries(count, zones);
        Map<InetSocketAddress, Integer> agents = new HashMap<>();
        for (int agent = 0; agent < AGENTS; agent++) {
            choice(agent, connected).choose(entries).forEach(address -> agents.merge(address, 1, Integer::sum));
        }
        double mean = (double) AGENTS * connected / count;
        boolean equalZones = count % zones == 0;
        double deviations = equalZones ? 5 * Math.sqrt(mean) : mean / 2;
        entries.forEach(entry -> assertEquals(agents.get(entry.address()), mean, deviations));
    }

    @Test(dataProvider = "sizes")
    public void shouldChooseAtMostHalfOfOneZone(int count, int zones, int connected) {
        List<KnownEntry> entries = entries(count, zones);
        for (int agent = 0; agent < AGENTS; agent++) {
            Set<InetSocketAddress> chosen = choice(agent, connected).choose(entries);
            assertEquals(chosen.size(), connected);
            Map<String, Long> inZone = entries.stream()
                    .filter(entry -> chosen.contains(entry.address()))
                    .collect(Collectors.groupingBy(KnownEntry::zone, Collectors.counting()));
            inZone.values().forEach(inOne -> assertTrue(inOne <= (connected + 1) / 2, inZone.toString()));
        }
    }

    @Test
    public void shouldReplaceOnlyTheEntryThatIsGone() {
        List<KnownEntry> entries = entries(24, 3);
        List<KnownEntry> without = new ArrayList<>(entries);
        InetSocketAddress gone = without.remove(5).address();
        for (int agent = 0; agent < AGENTS; agent++) {
            Set<InetSocketAddress> before = choice(agent, 4).choose(entries);
            Set<InetSocketAddress> after = choice(agent, 4).choose(without);
            Set<InetSocketAddress> kept = new LinkedHashSet<>(before);
            kept.remove(gone);
            assertEquals(after.size(), 4);
            assertTrue(after.containsAll(kept), before + " became " + after);
        }
    }

    @DataProvider
    public Object[][] few() {
        return new Object[][] {{3, 8, 3}, {8, 8, 8}, {9, 8, 8}, {0, 8, 0}};
    }

    @Test(dataProvider = "few")
    public void shouldChooseAllWhileTheyAreFew(int count, int connected, int expected) {
        assertEquals(choice(1, connected).choose(entries(count, 1)).size(), expected);
    }

    private static EntryChoice choice(int agent, int connected) {
        return new EntryChoice("worker-" + agent, connected);
    }

    private static List<KnownEntry> entries(int count, int zones) {
        return IntStream.range(0, count)
                .mapToObj(i -> new KnownEntry(
                        new InetSocketAddress("10.0." + i / 200 + "." + (1 + i % 200), 9_090), "zone-" + i % zones))
                .toList();
    }
}
