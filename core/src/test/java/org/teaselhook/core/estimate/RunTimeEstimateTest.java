package org.teaselhook.core.estimate;

import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class RunTimeEstimateTest {

    private static final long MILLI = 1_000_000L;

    // -- add

    @DataProvider
    public Object[][] declared() {
        return new Object[][] {{10L, 100L}, {1_000L, 100L}, {100L, 100L}};
    }

    @Test(dataProvider = "declared")
    public void shouldLearnWithinFiveTasksWhenDeclarationIsFarOff(long declaredMillis, long trueMillis) {
        RunTimeEstimate estimate = RunTimeEstimate.declared(declaredMillis * MILLI);
        for (int i = 0; i < 5; i++) {
            assertFalse(estimate.isLearned(0));
            assertEquals(estimate.median(), declaredMillis * MILLI);
            estimate.add(0, trueMillis * MILLI);
        }
        assertTrue(estimate.isLearned(0));
        assertEquals(estimate.median(), trueMillis * MILLI, 0.06 * trueMillis * MILLI);
    }

    @DataProvider
    public Object[][] shifts() {
        return new Object[][] {{10.0}, {0.1}};
    }

    @Test(dataProvider = "shifts")
    public void shouldFollowTenfoldShiftWithinSixteenTasks(double factor) {
        RunTimeEstimate estimate = RunTimeEstimate.declared(MILLI);
        for (int i = 0; i < 1_000; i++) {
            estimate.add(0, 200 * MILLI);
        }
        for (int i = 0; i < 16; i++) {
            estimate.add(0, (long) (200 * MILLI * factor));
        }
        assertEquals(estimate.median(), 200 * MILLI * factor, 0.06 * 200 * MILLI * factor);
    }

    @Test
    public void shouldEstimateQuantilesOfSamples() {
        RunTimeEstimate estimate = RunTimeEstimate.declared(MILLI);
        Random random = new Random(3);
        for (int i = 0; i < 4_000; i++) {
            estimate.add(0, (50 + random.nextInt(950)) * MILLI);
        }
        assertEquals(estimate.median(), 525.0 * MILLI, 80 * MILLI);
        assertEquals(estimate.p90(), 905.0 * MILLI, 90 * MILLI);
        assertEquals(estimate.mean(), 525.0 * MILLI, 60 * MILLI);
        assertTrue(estimate.p99() >= estimate.p90());
    }

    // -- isLearned

    @Test
    public void shouldNotBeLearnedFromOldSamples() {
        RunTimeEstimate estimate = RunTimeEstimate.declared(MILLI);
        for (int i = 0; i < 100; i++) {
            estimate.add(0, MILLI);
        }
        assertTrue(estimate.isLearned(9_000 * MILLI));
        assertFalse(estimate.isLearned(11_000 * MILLI));
    }
}
