package org.teaselhook.node.control;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class PauseDetectorTest {

    private static final long MILLI = 1_000_000L;

    @DataProvider
    public Object[][] clockReadings() {
        return new Object[][] {
            {20, 20, false},
            {299, 299, false},
            {3_000, 3_000, true},
            {20, 3_020, true},
            {20, -2_380, true},
            {100, 350, false},
        };
    }

    @Test(dataProvider = "clockReadings")
    public void shouldDetectPauseByEitherClock(long elapsedMillis, long elapsedWallMillis, boolean expected) {
        PauseDetector detector = PauseDetector.startingAt(0, 1_000_000);

        boolean paused = detector.hasPaused(elapsedMillis * MILLI, 1_000_000 + elapsedWallMillis);
        assertEquals(paused, expected);
        assertFalse(detector.hasPaused((elapsedMillis + 20) * MILLI, 1_000_020 + elapsedWallMillis));
    }
}
