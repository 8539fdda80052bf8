package org.teaselhook.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class FairQueueTest {

    private static final long MILLI = 1_000_000L;

    private final FairQueue<String> queue = FairQueue.empty();

    private static String take(FairQueue<String> from) {
        FairQueue.Item<String> item = from.peek().orElseThrow();
        assertTrue(from.take(item));
        return item.value();
    }

    // -- peek

    @DataProvider
    public Object[][] weights() {
        return new Object[][] {{1, 1}, {3, 1}, {1, 5}};
    }

    @Test(dataProvider = "weights")
    public void shouldShareByWeight(int first, int second) {
        FairQueue<String> shared = FairQueue.empty();
        for (int i = 0; i < 600; i++) {
            shared.add(0, "a", first, i * MILLI, 100 * MILLI, "a");
            shared.add(0, "b", second, i * MILLI, 100 * MILLI, "b");
        }
        long takenOfFirst = 0;
        for (int i = 0; i < 120; i++) {
            takenOfFirst += take(shared).equals("a") ? 1 : 0;
        }
        assertEquals(takenOfFirst, 120.0 * first / (first + second), 1.0);
    }

    @Test
    public void shouldOrderTasksOfCustomerByLatestStart() {
        FairQueue<String> single = FairQueue.empty();
        single.add(0, "a", 1, 30 * MILLI, MILLI, "third");
        single.add(0, "a", 1, 10 * MILLI, MILLI, "first");
        single.add(0, "a", 1, 20 * MILLI, MILLI, "second");
        assertEquals(List.of(take(single), take(single), take(single)), List.of("first", "second", "third"));
    }

    @Test
    public void shouldServeNewCustomerBeforeBacklogOfAnother() {
        FairQueue<String> backlog = FairQueue.empty();
        for (int i = 0; i < 1_000; i++) {
            backlog.add(0, "a", 1, MILLI, MILLI, "old");
        }
        take(backlog);
        take(backlog);
        backlog.add(0, "b", 1, 500 * MILLI, MILLI, "new");
        assertEquals(List.of(take(backlog), take(backlog)).contains("new"), true);
    }

    @Test
    public void shouldResetSharesOnceQueueWasEmpty() {
        FairQueue<String> shared = FairQueue.empty();
        for (int i = 0; i < 20; i++) {
            shared.add(0, i < 5 ? "b" : "a", 1, MILLI, 100 * MILLI, "early");
        }
        for (int i = 0; i < 20; i++) {
            take(shared);
        }
        for (int i = 0; i < 10; i++) {
            shared.add(0, "a", 1, MILLI, 100 * MILLI, "a");
            shared.add(0, "b", 1, MILLI, 100 * MILLI, "b");
        }
        long takenOfFirst = 0;
        for (int i = 0; i < 10; i++) {
            takenOfFirst += take(shared).equals("a") ? 1 : 0;
        }
        assertEquals(takenOfFirst, 5);
    }

    // -- remove

    @Test
    public void shouldNotReturnRemovedElement() {
        FairQueue.Item<String> item = queue.add(0, "a", 1, MILLI, 7, "gone");
        assertTrue(queue.remove(item));
        assertFalse(queue.remove(item));
        assertFalse(queue.take(item));
        assertEquals(queue.totalWork(), 0);
        assertTrue(queue.isEmpty() && queue.peek().isEmpty());
    }

    // -- workAhead

    @DataProvider
    public Object[][] ahead() {
        return new Object[][] {{"a", 200, 100 + 50}, {"a", 2_000, 200 + 50}, {"b", 2_000, 50 + 50}, {"c", 2_000, 0}};
    }

    @Test(dataProvider = "ahead")
    public void shouldCountOwnEarlierWorkAndShareOfOthers(String customer, long latestStartMillis, long expected) {
        FairQueue<String> work = FairQueue.empty();
        work.add(0, "a", 1, 100 * MILLI, 100, "early");
        work.add(0, "a", 1, 1_000 * MILLI, 100, "late");
        work.add(0, "b", 1, 100 * MILLI, 50, "other");
        assertEquals(work.workAhead(0, customer, 1, latestStartMillis * MILLI), expected);
    }

    // -- KeyedHeap

    @Test
    public void shouldKeepOrderUnderRandomAddsAndRemoves() {
        Random random = new Random(7);
        KeyedHeap<Integer> heap = KeyedHeap.empty();
        List<KeyedHeap.Handle<Integer>> present = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            if (random.nextInt(3) > 0 || present.isEmpty()) {
                present.add(heap.add(random.nextInt(500), i));
            } else {
                assertTrue(heap.remove(present.remove(random.nextInt(present.size()))));
            }
        }
        present.sort(Comparator.comparingLong(KeyedHeap.Handle<Integer>::key).thenComparing(KeyedHeap.Handle::value));
        for (KeyedHeap.Handle<Integer> expected : present) {
            assertEquals(heap.peek().orElseThrow(), expected);
            heap.remove(expected);
        }
        assertTrue(heap.isEmpty());
    }
}
