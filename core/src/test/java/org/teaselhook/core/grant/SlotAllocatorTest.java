package org.teaselhook.core.grant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SlotAllocatorTest {

    private static final Incarnation A = Incarnation.of(1);
    private static final Incarnation B = Incarnation.of(2);
    private static final Incarnation C = Incarnation.of(3);
    private static final int SLOTS = 8;
    private static final long NOW = 5_000_000_000L;

    // -- share

    @Test
    public void shouldSpreadSlotsEvenlyWithoutDemand() {
        SlotAllocator allocator = connected(A, B, C);

        Map<Incarnation, Integer> granted = granted(allocator.allocate(NOW));

        assertEquals(granted.values().stream().mapToInt(n -> n).sum(), SLOTS);
        assertTrue(granted.values().stream().allMatch(n -> n == 2 || n == 3), granted.toString());
    }

    @Test
    public void shouldGrantNothingWhileClosed() {
        SlotAllocator allocator = connected(A);
        allocator.allowGrants(false);

        assertEquals(allocator.allocate(NOW), List.of());
    }

    @Test
    public void shouldRebalanceSlotsForEntryThatConnectsLater() {
        SlotAllocator allocator = connected(A);
        allocator.allocate(NOW);
        allocator.connect(B);

        allocator.rebalance(NOW);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(A, 0, 4)));
        allocator.rebalance(NOW);
        allocator.returnSlots(A, 4);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 4, 0)));
        allocator.rebalance(NOW);
        assertEquals(allocator.allocate(NOW), List.of());
    }

    @Test
    public void shouldMoveIdleGrantsToEntryWithDemand() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        allocator.setDemand(B, 4);

        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(A, 0, 4)));
        assertEquals(allocator.allocate(NOW), List.of());
        allocator.returnSlots(A, 4);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 4, 0)));
        assertEquals(allocator.granted(B), SLOTS);
    }

    /** An entry does not announce the end of its demand; it is detected by grants that remain unused. */
    @Test
    public void shouldReclaimIdleGrantsWhenDemandHasEnded() {
        SlotAllocator allocator = connected(A, B);
        allocator.setDemand(A, 6);
        allocator.setDemand(B, 6);
        allocator.allocate(NOW);
        allocator.connect(C);
        allocator.setDemand(C, 2);

        assertEquals(reclaimed(allocator.allocate(NOW + 1)), 2);
        allocator.returnSlots(A, 1);
        allocator.returnSlots(B, 1);
        assertEquals(allocator.allocate(NOW + 2), List.of(new GrantChange(C, 2, 0)));
        allocator.start(C, true);
        allocator.start(C, true);
        allocator.setDemand(C, 4);
        assertEquals(reclaimed(allocator.allocate(NOW + 3)), 0);
        assertEquals(reclaimed(allocator.allocate(NOW + SlotAllocator.UNUSED_NANOS + 4)), 4);
    }

    @Test
    public void shouldRepeatReclaimThatWasNotAnswered() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        for (int i = 0; i < SLOTS / 2; i++) {
            allocator.start(B, true);
        }
        allocator.setDemand(B, 2);
        allocator.allocate(NOW);

        long later = NOW + SlotAllocator.RECLAIM_TIMEOUT_NANOS + 1;

        assertEquals(allocator.allocate(later), List.of(new GrantChange(A, 0, 2)));
    }

    // -- hold

    @Test
    public void shouldReclaimIdleGrantForHeldDispatch() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        assertEquals(allocator.openSlots(), SLOTS);
        assertTrue(allocator.canHold(B));
        allocator.hold(B);

        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(A, 0, 1)));
        assertEquals(allocator.openSlots(), 0);
        assertTrue(allocator.isReclaiming());
        allocator.returnSlots(A, 1);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 1, 0)));
        assertFalse(allocator.isReclaiming());
    }

    @Test
    public void shouldHoldNoMoreDispatchesThanUnneededIdleGrants() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        for (int i = 0; i < 4; i++) {
            assertTrue(allocator.canHold(B));
            allocator.hold(B);
        }
        assertFalse(allocator.canHold(B));
        allocator.release(B);
        assertTrue(allocator.canHold(B));
        allocator.setDemand(A, 1);
        assertFalse(allocator.canHold(B));
    }

    @Test
    public void shouldGrantSlotsOfClosedConnectionToOthers() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        allocator.start(A, true);

        allocator.disconnect(A);

        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 3, 0)));
        assertEquals(allocator.running(), 1);
        allocator.finish(A);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 1, 0)));
    }

    @Test
    public void shouldGrantNoIdleSlotsToEntryThatReturnedThemUnasked() {
        SlotAllocator allocator = connected(A, B);
        allocator.allocate(NOW);
        allocator.returnSlots(A, 4);

        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(B, 4, 0)));
        allocator.returnSlots(B, SLOTS);
        assertEquals(allocator.allocate(NOW), List.of());
        assertEquals(allocator.available(A, false), SLOTS);
        allocator.setDemand(A, 1);
        assertEquals(allocator.allocate(NOW), List.of(new GrantChange(A, SLOTS, 0)));
    }

    /** Entries that always need more slots receive about the same number, even if they outnumber the slots. */
    @Test(dataProvider = "entryCounts")
    public void shouldServeEntriesEquallyUnderContention(int entries) {
        SlotAllocator allocator = SlotAllocator.of(SLOTS);
        allocator.allowGrants(true);
        Map<Incarnation, Integer> served = new HashMap<>();
        for (int i = 1; i <= entries; i++) {
            allocator.connect(Incarnation.of(i));
            served.put(Incarnation.of(i), 0);
        }
        Random random = new Random(entries);
        List<Incarnation> running = new java.util.ArrayList<>();
        for (int round = 0; round < 24_000; round++) {
            served.keySet().forEach(entry -> allocator.setDemand(entry, 1_000));
            for (GrantChange change : allocator.allocate(NOW)) {
                allocator.returnSlots(change.entry(), change.reclaimed());
                for (int i = 0; i < change.granted() && allocator.granted(change.entry()) > 0; i++) {
                    allocator.start(change.entry(), true);
                    served.merge(change.entry(), 1, Integer::sum);
                    running.add(change.entry());
                }
            }
            allocator.finish(running.remove(random.nextInt(running.size())));
        }
        int least = served.values().stream().mapToInt(n -> n).min().orElse(0);
        int most = served.values().stream().mapToInt(n -> n).max().orElse(0);
        assertTrue(least > 0 && most <= 1.1 * least, served.toString());
    }

    @DataProvider
    public static Object[][] entryCounts() {
        return new Object[][] {{2}, {3}, {8}, {12}};
    }

    /** Under random events, every slot remains either free, granted or in use, and free slots serve the demand. */
    @Test(dataProvider = "seeds")
    public void shouldNeverAllocateSlotTwice(long seed) {
        Random random = new Random(seed);
        SlotAllocator allocator = connected(A, B, C);
        Map<Incarnation, Integer> running = new HashMap<>();
        for (int step = 0; step < 30_000; step++) {
            Incarnation entry = Incarnation.of(1 + random.nextInt(3));
            int ownRunning = running.getOrDefault(entry, 0);
            switch (random.nextInt(9)) {
                case 0 -> allocator.connect(entry);
                case 1 -> allocator.disconnect(entry);
                case 2 -> allocator.setDemand(entry, random.nextInt(10));
                case 3 -> allocator.returnSlots(entry, random.nextInt(4));
                case 4 -> allocator.refuse(entry);
                case 6 -> {
                    if (allocator.canHold(entry)) {
                        allocator.hold(entry);
                    }
                }
                case 5 -> {
                    if (ownRunning > 0) {
                        allocator.finish(entry);
                        running.put(entry, ownRunning - 1);
                    }
                }
                default -> {
                    boolean granted = random.nextBoolean();
                    if (allocator.available(entry, granted) > 0) {
                        allocator.start(entry, granted);
                        running.put(entry, ownRunning + 1);
                    }
                }
            }
            allocator.rebalance(NOW + step * 1_000_000L);
            allocator.allocate(NOW + step * 1_000_000L);
            int total = running.values().stream().mapToInt(n -> n).sum();
            assertEquals(allocator.running(), total, "seed " + seed + " step " + step);
            assertTrue(allocator.free() >= 0 && total + allocator.granted() <= SLOTS, "seed " + seed + " step " + step);
        }
    }

    @DataProvider
    public static Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    private static int reclaimed(List<GrantChange> changes) {
        return changes.stream().mapToInt(GrantChange::reclaimed).sum();
    }

    private static SlotAllocator connected(Incarnation... entries) {
        SlotAllocator allocator = SlotAllocator.of(SLOTS);
        allocator.allowGrants(true);
        for (Incarnation entry : entries) {
            allocator.connect(entry);
        }
        return allocator;
    }

    private static Map<Incarnation, Integer> granted(List<GrantChange> changes) {
        Map<Incarnation, Integer> result = new HashMap<>();
        changes.forEach(change -> result.put(change.entry(), change.granted()));
        return result;
    }
}
