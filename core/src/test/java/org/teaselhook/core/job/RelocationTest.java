package org.teaselhook.core.job;

import org.teaselhook.core.lease.RunForecast;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RelocationTest {

    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            // elapsed ms, total ms, slowness, whether moving is worthwhile
            {60, 800, 4.0, true},
            {100, 20_000, 5.0, true},
            {700, 800, 4.0, false},
            {60, 800, 1.3, false},
            {60, 120, 4.0, false},
            {1_000, 2_700, 1.0, false},
        };
    }

    /** On a worker four times slower, a run that has just started is moved; one that is short or nearly done is not. */
    @Test(dataProvider = "runs")
    public void shouldMoveOnlyRunsThatEndSoonerElsewhere(long elapsed, long total, double slowness, boolean expected) {
        assertEquals(Relocation.isWorthwhile(new RunForecast(elapsed, total), slowness), expected);
    }
}
