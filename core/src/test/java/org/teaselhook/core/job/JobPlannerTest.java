package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.route.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class JobPlannerTest {

    private static final long ARRIVED = TimeUnit.SECONDS.toNanos(9);

    @DataProvider
    public Object[][] jobs() {
        return new Object[][] {
            // estimate in ms, time to the deadline in ms, given up after ms
            {100, 8_000, 1_320},
            {1_600, 8_000, 7_850},
            {0, 8_000, 7_850},
            {100, 100, 0},
        };
    }

    /** If a run makes no progress, the job is given up early enough for the answer to reach the caller. */
    @Test(dataProvider = "jobs")
    public void shouldGiveUpWhileCallerCanBeAnswered(long estimateMillis, long timeoutMillis, long expectedMillis) {
        Route route = new Route("r", "h", "/p/", "s", 0, 3, 1.6, 60, 1_500);
        Step step = new Step(
                1, ResourceAmounts.of(1_600, 64, 0), estimateMillis, List.of(), Optional.empty(), Optional.empty(), 0);
        long deadline = ARRIVED + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        ActiveJob planned =
                new JobPlanner(new RunTimeAverages()).plan(new Job("a", route, "", List.of(step), ARRIVED, deadline));

        assertEquals(TimeUnit.NANOSECONDS.toMillis(planned.giveUpAt() - ARRIVED), expectedMillis);
    }
}
