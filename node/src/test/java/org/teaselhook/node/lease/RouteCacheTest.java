package org.teaselhook.node.lease;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.wire.RouteDocument;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RouteCacheTest {

    private static final long START = TimeUnit.SECONDS.toNanos(3);

    private final RouteCache cache = new RouteCache();

    /** Evacuated zones take effect with the first pulse that lists them, without a fetch of the document. */
    @Test
    public void shouldApplyZonesOfNewestVersionOnly() {
        RouteCache zones = new RouteCache();
        assertTrue(zones.noteVersion(5, Set.of("thrissur")));
        assertTrue(zones.isZoneOut("thrissur"));
        assertFalse(zones.noteVersion(4, Set.of()), "an older version changes nothing");
        assertTrue(zones.isZoneOut("thrissur"));
        assertFalse(zones.noteVersion(6, Set.of("thrissur")), "the same zones are out");
        assertTrue(zones.noteVersion(7, Set.of()));
        assertFalse(zones.isZoneOut("thrissur"));
    }

    /** With three changes a second for 4 s, the document is fetched every 2 s, and its last version in the end. */
    @Test
    public void shouldFetchOnlyFewVersionsOfBurst() {
        int fetches = 0;
        long version = 0;
        for (int milli = 0; milli < 10_000; milli += 100) {
            if (milli < 4_000 && milli % 300 == 0) {
                version++;
                cache.noteVersion(version, Set.of());
            }
            long now = START + TimeUnit.MILLISECONDS.toNanos(milli);
            if (cache.isFetchDue(now)) {
                fetches++;
                cache.fetchStarted(now);
                cache.store(document(version));
            }
        }
        assertEquals(fetches, 3);
        assertFalse(cache.isOutdated());
        assertEquals(cache.newerThan(version - 1), Optional.of(document(version)));
        assertEquals(cache.newerThan(version), Optional.empty());
    }

    @Test
    public void shouldKeepNewerDocumentWhenOlderArrivesLater() {
        RouteCache reordered = new RouteCache();
        reordered.store(document(9));
        reordered.store(document(8));

        assertEquals(reordered.documentVersion(), 9);
    }

    private static RouteDocument document(long version) {
        return RouteDocument.newBuilder().setVersion(version).build();
    }
}
