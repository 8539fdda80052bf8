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

public class GrantSharingTest {

    private static final Incarnation A = Incarnation.of(1);
    private static final Incarnation B = Incarnation.of(2);
    private static final Incarnation C = Incarnation.of(3);
    private static final int SLOTS = 8;
    private static final long NOW = 5_000_000_000L;

    // -- share

    @Test
    public void shouldSpreadEvenlyWhenNoneWants() {
        GrantSharing sharing = connected(A, B, C);

        Map<Incarnation, Integer> granted = granted(sharing.share(NOW));

        assertEquals(granted.values().stream().mapToInt(n -> n).sum(), SLOTS);
        assertTrue(granted.values().stream().allMatch(n -> n == 2 || n == 3), granted.toString());
    }

    @Test
    public void shouldGrantNothingWhileClosed() {
        GrantSharing sharing = connected(A);
        sharing.open(false);

        assertEquals(sharing.share(NOW), List.of());
    }

    @Test
    public void shouldGiveALaterEntryItsPart() {
        GrantSharing sharing = connected(A);
        sharing.share(NOW);
        sharing.connect(B);

        sharing.rebalance(NOW);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(A, 0, 4)));
        sharing.rebalance(NOW);
        sharing.giveBack(A, 4);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 4, 0)));
        sharing.rebalance(NOW);
        assertEquals(sharing.share(NOW), List.of());
    }

    @Test
    public void shouldPassIdleGrantsToTheEntryThatWants() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        sharing.want(B, 4);

        assertEquals(sharing.share(NOW), List.of(new GrantChange(A, 0, 4)));
        assertEquals(sharing.share(NOW), List.of());
        sharing.giveBack(A, 4);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 4, 0)));
        assertEquals(sharing.granted(B), SLOTS);
    }

    /** An entry whose wait is over does not say so; the grants that it leaves unused tell. */
    @Test
    public void shouldTakeIdleGrantsFromEntriesWhoseDemandIsOver() {
        GrantSharing sharing = connected(A, B);
        sharing.want(A, 6);
        sharing.want(B, 6);
        sharing.share(NOW);
        sharing.connect(C);
        sharing.want(C, 2);

        assertEquals(reclaimed(sharing.share(NOW + 1)), 2);
        sharing.giveBack(A, 1);
        sharing.giveBack(B, 1);
        assertEquals(sharing.share(NOW + 2), List.of(new GrantChange(C, 2, 0)));
        sharing.start(C, true);
        sharing.start(C, true);
        sharing.want(C, 4);
        assertEquals(reclaimed(sharing.share(NOW + 3)), 0);
        assertEquals(reclaimed(sharing.share(NOW + GrantSharing.UNUSED_NANOS + 4)), 4);
    }

    @Test
    public void shouldAskAgainWhenReclaimWasNotAnswered() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        for (int i = 0; i < SLOTS / 2; i++) {
            sharing.start(B, true);
        }
        sharing.want(B, 2);
        sharing.share(NOW);

        long later = NOW + GrantSharing.RECLAIM_TIMEOUT_NANOS + 1;

        assertEquals(sharing.share(later), List.of(new GrantChange(A, 0, 2)));
    }

    // -- hold

    @Test
    public void shouldTakeAnIdleGrantBackForAHeldDispatch() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        assertEquals(sharing.openSlots(), SLOTS);
        assertTrue(sharing.canHold(B));
        sharing.hold(B);

        assertEquals(sharing.share(NOW), List.of(new GrantChange(A, 0, 1)));
        assertEquals(sharing.openSlots(), 0);
        assertTrue(sharing.isReclaiming());
        sharing.giveBack(A, 1);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 1, 0)));
        assertFalse(sharing.isReclaiming());
    }

    @Test
    public void shouldHoldNoMoreThanIdleGrantsOfEntriesThatWantNone() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        for (int i = 0; i < 4; i++) {
            assertTrue(sharing.canHold(B));
            sharing.hold(B);
        }
        assertFalse(sharing.canHold(B));
        sharing.release(B);
        assertTrue(sharing.canHold(B));
        sharing.want(A, 1);
        assertFalse(sharing.canHold(B));
    }

    @Test
    public void shouldGrantAgainAfterConnectionLapsed() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        sharing.start(A, true);

        sharing.disconnect(A);

        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 3, 0)));
        assertEquals(sharing.running(), 1);
        sharing.finish(A);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 1, 0)));
    }

    @Test
    public void shouldGrantNoIdleSlotsToEntryThatGaveThemBackUnasked() {
        GrantSharing sharing = connected(A, B);
        sharing.share(NOW);
        sharing.giveBack(A, 4);

        assertEquals(sharing.share(NOW), List.of(new GrantChange(B, 4, 0)));
        sharing.giveBack(B, SLOTS);
        assertEquals(sharing.share(NOW), List.of());
        assertEquals(sharing.available(A, false), SLOTS);
        sharing.want(A, 1);
        assertEquals(sharing.share(NOW), List.of(new GrantChange(A, SLOTS, 0)));
    }

    /** Entries that always want more than there is, more of them than slots: all are served alike. */
    @Test(dataProvider = "entryCounts")
    public void shouldServeAllEntriesAlikeUnderContention(int entries) {
        GrantSharing sharing = GrantSharing.of(SLOTS);
        sharing.open(true);
        Map<Incarnation, Integer> served = new HashMap<>();
        for (int i = 1; i <= entries; i++) {
            sharing.connect(Incarnation.of(i));
            served.put(Incarnation.of(i), 0);
        }
        Random random = new Random(entries);
        List<Incarnation> running = new java.util.ArrayList<>();
        for (int round = 0; round < 24_000; round++) {
            served.keySet().forEach(entry -> sharing.want(entry, 1_000));
            for (GrantChange change : sharing.share(NOW)) {
                sharing.giveBack(change.entry(), change.reclaimed());
                for (int i = 0; i < change.granted() && sharing.granted(change.entry()) > 0; i++) {
                    sharing.start(change.entry(), true);
                    served.merge(change.entry(), 1, Integer::sum);
                    running.add(change.entry());
                }
            }
            sharing.finish(running.remove(random.nextInt(running.size())));
        }
        int least = served.values().stream().mapToInt(n -> n).min().orElse(0);
        int most = served.values().stream().mapToInt(n -> n).max().orElse(0);
        assertTrue(least > 0 && most <= 1.1 * least, served.toString());
    }

    @DataProvider
    public static Object[][] entryCounts() {
        return new Object[][] {{2}, {3}, {8}, {12}};
    }

    /** Any order of events keeps every slot free, granted or in use, and serves demand when there is room. */
    @Test(dataProvider = "seeds")
    public void shouldNeverShareASlotTwice(long seed) {
        Random random = new Random(seed);
        GrantSharing sharing = connected(A, B, C);
        Map<Incarnation, Integer> running = new HashMap<>();
        for (int step = 0; step < 30_000; step++) {
            Incarnation entry = Incarnation.of(1 + random.nextInt(3));
            int busy = running.getOrDefault(entry, 0);
            switch (random.nextInt(9)) {
                case 0 -> sharing.connect(entry);
                case 1 -> sharing.disconnect(entry);
                case 2 -> sharing.want(entry, random.nextInt(10));
                case 3 -> sharing.giveBack(entry, random.nextInt(4));
                case 4 -> sharing.refuse(entry);
                case 6 -> {
                    if (sharing.canHold(entry)) {
                        sharing.hold(entry);
                    }
                }
                case 5 -> {
                    if (busy > 0) {
                        sharing.finish(entry);
                        running.put(entry, busy - 1);
                    }
                }
                default -> {
                    boolean granted = random.nextBoolean();
                    if (sharing.available(entry, granted) > 0) {
                        sharing.start(entry, granted);
                        running.put(entry, busy + 1);
                    }
                }
            }
            sharing.rebalance(NOW + step * 1_000_000L);
            sharing.share(NOW + step * 1_000_000L);
            int total = running.values().stream().mapToInt(n -> n).sum();
            assertEquals(sharing.running(), total, "seed " + seed + " step " + step);
            assertTrue(sharing.free() >= 0 && total + sharing.granted() <= SLOTS, "seed " + seed + " step " + step);
        }
    }

    @DataProvider
    public static Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    private static int reclaimed(List<GrantChange> changes) {
        return changes.stream().mapToInt(GrantChange::reclaimed).sum();
    }

    private static GrantSharing connected(Incarnation... entries) {
        GrantSharing sharing = GrantSharing.of(SLOTS);
        sharing.open(true);
        for (Incarnation entry : entries) {
            sharing.connect(entry);
        }
        return sharing;
    }

    private static Map<Incarnation, Integer> granted(List<GrantChange> changes) {
        Map<Incarnation, Integer> result = new HashMap<>();
        changes.forEach(change -> result.put(change.entry(), change.granted()));
        return result;
    }
}
