package org.teaselhook.core.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PreferredWorkersTest {

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1, 11}, {3, 11}, {9, 54}, {11, 64}, {11, 5}};
    }

    @Test(dataProvider = "sizes")
    public void shouldAssignEveryWorkerToOneEntryAlmostEvenly(int entryCount, int workerCount) {
        List<String> entries = names("edge", entryCount);
        List<String> workers = names("side", workerCount);
        Set<String> assigned = new HashSet<>();
        int sum = 0;
        for (String entry : entries) {
            Set<String> preferred = PreferredWorkers.of(entry, entries, workers);
            assertTrue(preferred.size() >= workerCount / entryCount, entry);
            assertTrue(preferred.size() <= workerCount / entryCount + 1, entry);
            assigned.addAll(preferred);
            sum += preferred.size();
        }

        assertEquals(assigned, Set.copyOf(workers));
        assertEquals(sum, workerCount);
    }

    @Test
    public void shouldNotDependOnOrderOrRepeatedNames() {
        List<String> entries = names("edge", 4);
        List<String> workers = names("side", 20);
        List<String> shuffled = new ArrayList<>(workers);
        shuffled.addAll(workers.subList(0, 5));
        Collections.shuffle(shuffled, new Random(7));

        assertEquals(
                PreferredWorkers.of("edge-2", List.of("edge-4", "edge-2", "edge-3", "edge-1"), shuffled),
                PreferredWorkers.of("edge-2", entries, workers));
    }

    @Test
    public void shouldAssignNothingToEntryThatIsNotLive() {
        assertEquals(PreferredWorkers.of("edge-9", names("edge", 3), names("side", 9)), Set.of());
    }

    /** In typical fleets, every third worker is of another kind. */
    @Test
    public void shouldNotAssignAllWorkersOfOneKindToOneEntry() {
        List<String> entries = names("edge", 3);
        List<String> workers = names("side", 54);
        for (String entry : entries) {
            long third = PreferredWorkers.of(entry, entries, workers).stream()
                    .filter(name -> Integer.parseInt(name.substring(5)) % 3 == 0)
                    .count();
            assertTrue(third > 0 && third < 18, entry + " has " + third);
        }
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.rangeClosed(1, count).mapToObj(i -> prefix + "-" + i).toList();
    }
}
