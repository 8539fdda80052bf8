package org.teaselhook.node.peer;

import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class KnownRunsTest {

    private static final Incarnation ONE = Incarnation.of(1);
    private static final Incarnation TWO = Incarnation.of(2);
    private static final Incarnation THREE = Incarnation.of(3);
    private static final long SETTLED = KnownRuns.SETTLED_NANOS;

    // -- noneLost

    @Test
    public void shouldCountOnNobodyBeforeTheLogWasRead() {
        KnownRuns runs = new KnownRuns();
        runs.observe(0, Set.of(), false);
        runs.observe(2 * SETTLED, Set.of(), false);
        assertFalse(runs.noneLost(Set.of()));
    }

    @Test
    public void shouldMissRunThatWasCutOffWithTheTableService() {
        KnownRuns runs = settled(Set.of(ONE, TWO));
        runs.observe(2 * SETTLED, Set.of(), false);
        runs.observe(3 * SETTLED, Set.of(), true);
        assertFalse(runs.noneLost(Set.of()), "both may have claimed while this entry was alone");
        assertTrue(runs.noneLost(Set.of(ONE, TWO)));
    }

    @Test
    public void shouldMissRunThatCameAndWentSinceTheLogWasRead() {
        KnownRuns runs = settled(Set.of(ONE));
        runs.observe(2 * SETTLED, Set.of(ONE, THREE), false);
        assertFalse(runs.noneLost(Set.of(ONE)));
    }

    @Test
    public void shouldForgetLostRunOnceTheLogWasReadAfterIt() {
        KnownRuns runs = settled(Set.of(ONE, TWO));
        runs.observe(2 * SETTLED, Set.of(ONE), true);
        assertFalse(runs.noneLost(Set.of(ONE)));
        runs.observe(3 * SETTLED, Set.of(ONE), true);
        assertTrue(runs.noneLost(Set.of(ONE)));
    }

    private static KnownRuns settled(Set<Incarnation> live) {
        KnownRuns runs = new KnownRuns();
        runs.observe(0, live, true);
        runs.observe(SETTLED, live, true);
        assertTrue(runs.noneLost(live));
        return runs;
    }
}
