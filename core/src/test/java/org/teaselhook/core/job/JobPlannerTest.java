package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.route.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class JobPlannerTest {

    private static final long ARRIVED = TimeUnit.SECONDS.toNanos(9);

    @DataProvider
    public Object[][] jobs() {
        return new Object[][] {
            // estimate ms, caller waits ms, given up after ms
            {100, 8_000, 1_320},
            {1_600, 8_000, 7_850},
            {0, 8_000, 7_850},
            {100, 100, 0},
        };
    }

    /** A run stands still until its caller leaves: the last answer still reaches the caller. */
    @Test(dataProvider = "jobs")
    public void shouldGiveUpWhileCallerCanBeAnswered(long estimate, long waits, long expected) {
        Route route = new Route("r", "h", "/p/", "s", 0, 3, 1.6, 60, 1_500);
        Step step = new Step(1, Amounts.of(1_600, 64, 0), estimate, List.of(), Optional.empty(), Optional.empty(), 0);
        long deadline = ARRIVED + TimeUnit.MILLISECONDS.toNanos(waits);
        ActiveJob planned =
                new JobPlanner(new RunTimes()).plan(new Job("a", route, "", List.of(step), ARRIVED, deadline));

        assertEquals(TimeUnit.NANOSECONDS.toMillis(planned.giveUpAt() - ARRIVED), expected);
    }
}
