package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RunForecastTest {

    @DataProvider
    public Object[][] progress() {
        return new Object[][] {
            // elapsed ms, percent, expected total ms; -1 if there is no forecast
            {39, 90, -1},
            {100, 49, 202},
            {100, 100, 100},
            {100, 0, 20_000},
        };
    }

    @Test(dataProvider = "progress")
    public void shouldExtrapolateTotalFromProgress(long elapsedMillis, int percent, long expected) {
        long total = RunForecast.of(TimeUnit.MILLISECONDS.toNanos(elapsedMillis), percent)
                .map(RunForecast::totalMillis)
                .orElse(-1L);

        assertEquals(total, expected);
    }
}
