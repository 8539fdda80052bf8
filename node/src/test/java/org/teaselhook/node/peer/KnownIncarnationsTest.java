package org.teaselhook.node.peer;

import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class KnownIncarnationsTest {

    private static final Incarnation ONE = Incarnation.of(1);
    private static final Incarnation TWO = Incarnation.of(2);
    private static final Incarnation THREE = Incarnation.of(3);
    private static final long SETTLE_NANOS = KnownIncarnations.SETTLE_NANOS;

    // -- allKnownLive

    @Test
    public void shouldNotReportAllKnownLiveBeforeLogWasRead() {
        KnownIncarnations known = new KnownIncarnations();
        known.observe(0, Set.of(), false);
        known.observe(2 * SETTLE_NANOS, Set.of(), false);
        assertFalse(known.allKnownLive(Set.of()));
    }

    @Test
    public void shouldMissIncarnationsLostTogetherWithTableService() {
        KnownIncarnations known = settled(Set.of(ONE, TWO));
        known.observe(2 * SETTLE_NANOS, Set.of(), false);
        known.observe(3 * SETTLE_NANOS, Set.of(), true);
        assertFalse(known.allKnownLive(Set.of()), "both may have claimed keys while this entry was isolated");
        assertTrue(known.allKnownLive(Set.of(ONE, TWO)));
    }

    @Test
    public void shouldMissIncarnationThatCameAndWentSinceLogWasRead() {
        KnownIncarnations known = settled(Set.of(ONE));
        known.observe(2 * SETTLE_NANOS, Set.of(ONE, THREE), false);
        assertFalse(known.allKnownLive(Set.of(ONE)));
    }

    @Test
    public void shouldDropLostIncarnationOnceLogWasReadAfterItsLoss() {
        KnownIncarnations known = settled(Set.of(ONE, TWO));
        known.observe(2 * SETTLE_NANOS, Set.of(ONE), true);
        assertFalse(known.allKnownLive(Set.of(ONE)));
        known.observe(3 * SETTLE_NANOS, Set.of(ONE), true);
        assertTrue(known.allKnownLive(Set.of(ONE)));
    }

    private static KnownIncarnations settled(Set<Incarnation> live) {
        KnownIncarnations known = new KnownIncarnations();
        known.observe(0, live, true);
        known.observe(SETTLE_NANOS, live, true);
        assertTrue(known.allKnownLive(live));
        return known;
    }
}
