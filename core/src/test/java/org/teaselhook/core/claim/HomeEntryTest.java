package org.teaselhook.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HomeEntryTest {

    private static final Random RANDOM = new Random(1);
    private static final List<Incarnation> ENTRIES =
            Stream.generate(() -> Incarnation.random(RANDOM)).limit(3).toList();

    // -- of

    @Test
    public void shouldBeEmptyWithoutEntries() {
        assertEquals(HomeEntry.of("key", List.of()), Optional.empty());
    }

    @Test
    public void shouldMoveOnlyKeysOfRemovedEntry() {
        List<Incarnation> remaining = ENTRIES.subList(0, 2);
        for (int i = 0; i < 1_000; i++) {
            Incarnation before = HomeEntry.of("key-" + i, ENTRIES).orElseThrow();
            Incarnation after = HomeEntry.of("key-" + i, remaining).orElseThrow();
            assertTrue(before.equals(after) || before.equals(ENTRIES.get(2)));
        }
    }

    @Test
    public void shouldAssignKeysOfOneShardToOneEntry() {
        Map<Integer, Long> homesByShard = keys().collect(Collectors.groupingBy(
                Shards::of, Collectors.collectingAndThen(Collectors.toSet(), keys -> keys.stream()
                        .map(key -> HomeEntry.of(key, ENTRIES))
                        .distinct()
                        .count())));
        assertEquals(homesByShard.size(), Shards.COUNT);
        assertTrue(homesByShard.values().stream().allMatch(count -> count == 1));
    }

    // -- shards

    @Test
    public void shouldSpreadKeysEvenlyOverShards() {
        Map<Integer, Long> keysByShard = keys().collect(Collectors.groupingBy(Shards::of, Collectors.counting()));
        keysByShard.values().forEach(count -> assertTrue(count > 1_000 && count < 1_500, keysByShard.toString()));
    }

    private static Stream<String> keys() {
        return IntStream.range(0, 10_000).mapToObj(i -> "key-" + i);
    }
}
