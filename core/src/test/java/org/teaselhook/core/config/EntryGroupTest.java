package org.teaselhook.core.config;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EntryGroupTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long START = Long.MAX_VALUE - 5 * SECOND;

    private EntryGroup group;

    @BeforeMethod
    public void start() {
        group = new EntryGroup("a");
    }

    @Test
    public void shouldKnowNothingBeforeEntriesAreListed() {
        heard("b", 1, 1);

        assertTrue(isEmpty(1));
        assertFalse(group.isLoaded());
    }

    @Test
    public void shouldCountOldestWordOfAll() {
        listed(0, "a", "b", "c");
        heard("b", 1, 10);
        heard("c", 1, 11);

        assertEquals(group.silentAsOf(at(12)), OptionalLong.of(at(10)));
    }

    @Test
    public void shouldNotGoOnAlone() {
        listed(0, "a");

        assertTrue(isEmpty(60));
    }

    @Test
    public void shouldWaitForMissingEntryAndThenGoOnAsMajority() {
        listed(0, "a", "b", "c");
        for (int second = 1; second <= 13; second++) {
            heard("b", 1, second);
            assertEquals(isEmpty(second), second <= 11, "at second " + second);
        }
        assertEquals(group.missing(at(13)), List.of("c"));
    }

    @Test
    public void shouldNeverGoOnAsMinorityWhateverNewEntriesJoin() {
        listed(0, "a", "b", "c", "d");
        for (int second = 1; second <= 60; second++) {
            heard("b", 1, second);
            heard("new-1", 1, second);
            heard("new-2", 1, second);
            assertTrue(isEmpty(second));
        }
    }

    @Test
    public void shouldNotWaitForRunThatWasReplacedOrHasLeft() {
        listed(0, "a", "b", "c", "d");
        heard("b", 1, 1);
        heard("c", 2, 1);
        group.heard(new KnownEntry("d", run(1)), true, at(1));
        heard("c", 2, 5);
        heard("b", 1, 5);

        assertEquals(group.silentAsOf(at(6)), OptionalLong.of(at(5)));
        heard("b", 1, 30);
        heard("c", 2, 30);
        assertEquals(group.silentAsOf(at(30)), OptionalLong.of(at(30)));
    }

    @Test
    public void shouldWaitAfterOwnPause() {
        listed(0, "a", "b", "c");
        heard("b", 1, 1);
        heard("c", 1, 1);
        assertFalse(isEmpty(1));

        heard("b", 1, 60);
        assertTrue(isEmpty(60));
        assertTrue(isEmpty(62));
    }

    @Test
    public void shouldInheritEntriesOnlyWhileItKnowsNone() {
        group.inherited(entries("a", "b", "c"), at(0));
        group.inherited(entries("a", "b"), at(1));
        heard("b", 1, 2);

        assertTrue(isEmpty(2));
        assertEquals(group.voters(run(7)).size(), 3);
        assertTrue(group.voters(run(7)).contains(new KnownEntry("a", run(7))));
    }

    @Test
    public void shouldForgetEntriesThatAreNotListedAndSilent() {
        listed(0, "a", "b", "c");
        heard("b", 1, 9);
        heard("c", 1, 1);
        listed(9, "a", "b");

        assertFalse(isEmpty(10));
        assertEquals(group.missing(at(10)), List.of());
    }

    @Test
    public void shouldWaitForEntryThatDialedAfterEntriesWereListed() {
        listed(0, "a", "b");
        group.dialedBy(new KnownEntry("c", run(1)), at(1));
        heard("b", 1, 2);

        assertTrue(isEmpty(2));
        assertEquals(group.missing(at(2)), List.of("c"));
    }

    @Test
    public void shouldNotTakeLaterFramesOfDialingEntryAsSignOfLife() {
        listed(0, "a", "b");
        for (int second = 1; second <= 13; second++) {
            group.dialedBy(new KnownEntry("c", run(1)), at(second));
            heard("b", 1, second);
            assertEquals(isEmpty(second), second <= 11, "at second " + second);
        }
    }

    private void listed(long second, String... names) {
        group.scanned(entries(names), at(second));
    }

    private static List<KnownEntry> entries(String... names) {
        return Arrays.stream(names).map(name -> new KnownEntry(name, run(1))).toList();
    }

    private void heard(String name, long run, long second) {
        group.heard(new KnownEntry(name, run(run)), false, at(second));
    }

    private boolean isEmpty(long second) {
        return group.silentAsOf(at(second)).isEmpty();
    }

    private static Incarnation run(long value) {
        return Incarnation.of(value);
    }

    private static long at(long second) {
        return START + second * SECOND;
    }
}
