package org.teaselhook.core.dispatch;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class DispatchOrderTest {

    // -- startingBy

    @DataProvider
    public Object[][] instants() {
        return new Object[][] {
            {1_000L, 900L, 900L},
            {1_000L, 1_100L, 1_000L},
            {Long.MIN_VALUE + 5, Long.MAX_VALUE, Long.MAX_VALUE},
            {Long.MAX_VALUE, Long.MIN_VALUE + 5, Long.MAX_VALUE},
        };
    }

    @Test(dataProvider = "instants")
    public void shouldKeepEarlierStartTimeWhenClockWraps(long startBy, long instant, long expected) {
        DispatchOrder order = new DispatchOrder(
                1, Incarnation.of(1), "s", 0, "patchdesk", "pandal", null, startBy, Long.MAX_VALUE, 7, true);

        assertEquals(order.startingBy(instant).startBy(), expected);
    }
}
