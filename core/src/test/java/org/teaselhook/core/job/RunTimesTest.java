package org.teaselhook.core.job;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RunTimesTest {

    private final RunTimes times = new RunTimes();

    /** A new entry under load turned jobs away by 230 ms after ten runs of 100 ms. */
    @Test
    public void shouldForgetWhatWasAssumedWithinTenRuns() {
        for (int i = 0; i < 10; i++) {
            times.ran("r", 400, 100);
        }

        assertTrue(times.meanMillis() < 120, "mean " + times.meanMillis());
    }

    @Test
    public void shouldNotFollowSingleRunLater() {
        for (int i = 0; i < 100; i++) {
            times.ran("q", 100, 100);
        }
        double before = times.meanMillis();
        times.ran("q", 100, 1_100);

        assertEquals(times.meanMillis() - before, 50, 1);
    }
}
