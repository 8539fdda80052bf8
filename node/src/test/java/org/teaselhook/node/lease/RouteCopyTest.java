package org.teaselhook.node.lease;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.wire.RouteDocument;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RouteCopyTest {

    private static final long START = TimeUnit.SECONDS.toNanos(3);

    private final RouteCopy copy = new RouteCopy();

    /** Evacuated zones are known from the first word of any entry, whatever becomes of the whole. */
    @Test
    public void shouldFollowZonesOfNewestVersionOnly() {
        RouteCopy zones = new RouteCopy();
        assertTrue(zones.heard(5, Set.of("thrissur")));
        assertTrue(zones.isOut("thrissur"));
        assertFalse(zones.heard(4, Set.of()), "an entry that is behind changes nothing");
        assertTrue(zones.isOut("thrissur"));
        assertFalse(zones.heard(6, Set.of("thrissur")), "nothing has changed for the agent");
        assertTrue(zones.heard(7, Set.of()));
        assertFalse(zones.isOut("thrissur"));
    }

    /** Three changes a second for 4 s: the whole is fetched every 2 s, and the last one in the end. */
    @Test
    public void shouldFetchFewOfManyChanges() {
        int fetches = 0;
        long version = 0;
        for (int milli = 0; milli < 10_000; milli += 100) {
            if (milli < 4_000 && milli % 300 == 0) {
                version++;
                copy.heard(version, Set.of());
            }
            long now = START + TimeUnit.MILLISECONDS.toNanos(milli);
            if (copy.isFetchDue(now)) {
                fetches++;
                copy.fetching(now);
                copy.received(document(version));
            }
        }
        assertEquals(fetches, 3);
        assertFalse(copy.isBehind());
        assertEquals(copy.newerThan(version - 1), Optional.of(document(version)));
        assertEquals(copy.newerThan(version), Optional.empty());
    }

    @Test
    public void shouldKeepNewerOfTwoThatOvertookEachOther() {
        RouteCopy overtaken = new RouteCopy();
        overtaken.received(document(9));
        overtaken.received(document(8));

        assertEquals(overtaken.copyVersion(), 9);
    }

    private static RouteDocument document(long version) {
        return RouteDocument.newBuilder().setVersion(version).build();
    }
}
