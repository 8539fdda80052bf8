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

public class EntryQuorumTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long START = Long.MAX_VALUE - 5 * SECOND;

    private EntryQuorum quorum;

    @BeforeMethod
    public void start() {
        quorum = new EntryQuorum("a");
    }

    @Test
    public void shouldNotConfirmBeforeEntriesAreListed() {
        reported("b", 1, 1);

        assertTrue(isUnconfirmed(1));
        assertFalse(quorum.isLoaded());
    }

    @Test
    public void shouldConfirmAsOfOldestReport() {
        listed(0, "a", "b", "c");
        reported("b", 1, 10);
        reported("c", 1, 11);

        assertEquals(quorum.confirmedAsOf(at(12)), OptionalLong.of(at(10)));
    }

    @Test
    public void shouldNotConfirmWithoutPeers() {
        listed(0, "a");

        assertTrue(isUnconfirmed(60));
    }

    @Test
    public void shouldConfirmByMajorityAfterMissingEntryTimesOut() {
        listed(0, "a", "b", "c");
        for (int second = 1; second <= 13; second++) {
            reported("b", 1, second);
            assertEquals(isUnconfirmed(second), second <= 11, "at second " + second);
        }
        assertEquals(quorum.missing(at(13)), List.of("c"));
    }

    @Test
    public void shouldNotConfirmAsMinorityEvenIfNewEntriesJoin() {
        listed(0, "a", "b", "c", "d");
        for (int second = 1; second <= 60; second++) {
            reported("b", 1, second);
            reported("new-1", 1, second);
            reported("new-2", 1, second);
            assertTrue(isUnconfirmed(second));
        }
    }

    @Test
    public void shouldNotWaitForReplacedOrStoppingRun() {
        listed(0, "a", "b", "c", "d");
        reported("b", 1, 1);
        reported("c", 2, 1);
        quorum.reported(new KnownEntry("d", incarnation(1)), true, at(1));
        reported("c", 2, 5);
        reported("b", 1, 5);

        assertEquals(quorum.confirmedAsOf(at(6)), OptionalLong.of(at(5)));
        reported("b", 1, 30);
        reported("c", 2, 30);
        assertEquals(quorum.confirmedAsOf(at(30)), OptionalLong.of(at(30)));
    }

    @Test
    public void shouldRestartWaitAfterOwnSuspension() {
        listed(0, "a", "b", "c");
        reported("b", 1, 1);
        reported("c", 1, 1);
        assertFalse(isUnconfirmed(1));

        reported("b", 1, 60);
        assertTrue(isUnconfirmed(60));
        assertTrue(isUnconfirmed(62));
    }

    @Test
    public void shouldAdoptEntriesOfPeerOnlyWhileNoneAreKnown() {
        quorum.learnedFromPeer(entries("a", "b", "c"), at(0));
        quorum.learnedFromPeer(entries("a", "b"), at(1));
        reported("b", 1, 2);

        assertTrue(isUnconfirmed(2));
        assertEquals(quorum.voters(incarnation(7)).size(), 3);
        assertTrue(quorum.voters(incarnation(7)).contains(new KnownEntry("a", incarnation(7))));
    }

    @Test
    public void shouldRemoveUnlistedEntriesThatStoppedReporting() {
        listed(0, "a", "b", "c");
        reported("b", 1, 9);
        reported("c", 1, 1);
        listed(9, "a", "b");

        assertFalse(isUnconfirmed(10));
        assertEquals(quorum.missing(at(10)), List.of());
    }

    @Test
    public void shouldWaitForEntryThatConnectedAfterListing() {
        listed(0, "a", "b");
        quorum.peerConnected(new KnownEntry("c", incarnation(1)), at(1));
        reported("b", 1, 2);

        assertTrue(isUnconfirmed(2));
        assertEquals(quorum.missing(at(2)), List.of("c"));
    }

    @Test
    public void shouldNotCountRepeatedConnectionsAsReports() {
        listed(0, "a", "b");
        for (int second = 1; second <= 13; second++) {
            quorum.peerConnected(new KnownEntry("c", incarnation(1)), at(second));
            reported("b", 1, second);
            assertEquals(isUnconfirmed(second), second <= 11, "at second " + second);
        }
    }

    private void listed(long second, String... names) {
        quorum.scanned(entries(names), at(second));
    }

    private static List<KnownEntry> entries(String... names) {
        return Arrays.stream(names)
                .map(name -> new KnownEntry(name, incarnation(1)))
                .toList();
    }

    private void reported(String name, long incarnation, long second) {
        quorum.reported(new KnownEntry(name, incarnation(incarnation)), false, at(second));
    }

    private boolean isUnconfirmed(long second) {
        return quorum.confirmedAsOf(at(second)).isEmpty();
    }

    private static Incarnation incarnation(long value) {
        return Incarnation.of(value);
    }

    private static long at(long second) {
        return START + second * SECOND;
    }
}
