package org.teaselhook.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RouteFetchBackoffTest {

    private static final long START = TimeUnit.SECONDS.toNanos(3);
    private static final Routes HELD = held(50);

    @DataProvider
    public Object[][] announcements() {
        return new Object[][] {
            // after ms, announced version, fetch expected
            {0, 50, false},
            {0, 51, false},
            {299, 51, false},
            {300, 51, true},
            {300, 49, false},
        };
    }

    /** All entries read the store: only one whose requests it rejects still lacks the change after the delay. */
    @Test(dataProvider = "announcements")
    public void shouldFetchOnlyNewerVersionAfterDelay(long afterMillis, long announced, boolean expected) {
        RouteFetchBackoff backoff = RouteFetchBackoff.initial();
        backoff.shouldFetch(START, HELD, 51);

        assertEquals(backoff.shouldFetch(at(afterMillis), HELD, announced), expected);
    }

    /** Eighty agents announce the same version repeatedly: one is asked at a time, with exponential backoff. */
    @Test
    public void shouldFetchFromOneAgentAtATimeWithExponentialBackoff() {
        RouteFetchBackoff backoff = RouteFetchBackoff.initial();
        List<Integer> fetches = new ArrayList<>();
        for (int milli = 0; milli < 5_000; milli++) {
            for (int agent = 0; agent < 4; agent++) {
                if (backoff.shouldFetch(at(milli), HELD, 60)) {
                    fetches.add(milli);
                }
            }
        }
        assertEquals(fetches, List.of(300, 600, 1_200, 2_400, 4_800));
    }

    @Test
    public void shouldFetchImmediatelyWhenNothingIsHeld() {
        assertTrue(RouteFetchBackoff.initial().shouldFetch(START, Routes.none(), 7));
    }

    /** The received content may equal that of the version held, which then remains in use. */
    @Test
    public void shouldNotFetchReceivedVersionAgain() {
        RouteFetchBackoff backoff = RouteFetchBackoff.initial();
        backoff.shouldFetch(START, HELD, 60);
        assertTrue(backoff.shouldFetch(at(300), HELD, 60));
        backoff.received(60);

        assertFalse(backoff.shouldFetch(at(900), HELD, 60));
        assertFalse(backoff.shouldFetch(at(1_000), HELD, 61));
        assertTrue(backoff.shouldFetch(at(1_300), HELD, 61));
    }

    private static Routes held(long version) {
        return new Routes(version, 7, List.of(), Set.of());
    }

    private static long at(long millis) {
        return START + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
