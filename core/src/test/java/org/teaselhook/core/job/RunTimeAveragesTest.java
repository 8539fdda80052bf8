package org.teaselhook.core.job;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RunTimeAveragesTest {

    private final RunTimeAverages averages = new RunTimeAverages();

    /** A new entry under load once refused jobs because its mean was still 230 ms after ten runs of 100 ms. */
    @Test
    public void shouldForgetAssumedMeanWithinTenRuns() {
        for (int i = 0; i < 10; i++) {
            averages.add("r", 400, 100);
        }

        assertTrue(averages.meanMillis() < 120, "mean " + averages.meanMillis());
    }

    @Test
    public void shouldNotFollowSingleOutlier() {
        for (int i = 0; i < 100; i++) {
            averages.add("q", 100, 100);
        }
        double before = averages.meanMillis();
        averages.add("q", 100, 1_100);

        assertEquals(averages.meanMillis() - before, 50, 1);
    }
}
