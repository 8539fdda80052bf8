package org.teaselhook.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RouteGapTest {

    private static final long START = TimeUnit.SECONDS.toNanos(3);
    private static final Routes HELD = held(50);

    @DataProvider
    public Object[][] words() {
        return new Object[][] {
            // after ms, heard version, asks
            {0, 50, false},
            {0, 51, false},
            {299, 51, false},
            {300, 51, true},
            {300, 49, false},
        };
    }

    /** Every entry reads the store: only one that the store turns away has not the change a moment later. */
    @Test(dataProvider = "words")
    public void shouldAskOnlyWhenStoreHadTimeToTell(long afterMillis, long heard, boolean expected) {
        RouteGap gap = RouteGap.none();
        gap.shouldAsk(START, HELD, 51);

        assertEquals(gap.shouldAsk(at(afterMillis), HELD, heard), expected);
    }

    /** Eighty agents tell of the same change all the time: one of them is asked, then another, ever less often. */
    @Test
    public void shouldAskOneAgentAtATimeAndLessOftenWhatNobodyAnswers() {
        RouteGap gap = RouteGap.none();
        List<Integer> asked = new ArrayList<>();
        for (int milli = 0; milli < 5_000; milli++) {
            for (int agent = 0; agent < 4; agent++) {
                if (gap.shouldAsk(at(milli), HELD, 60)) {
                    asked.add(milli);
                }
            }
        }
        assertEquals(asked, List.of(300, 600, 1_200, 2_400, 4_800));
    }

    @Test
    public void shouldAskAtOnceWhenNothingIsHeld() {
        assertTrue(RouteGap.none().shouldAsk(START, Routes.none(), 7));
    }

    /** What was received may say the same as what is held, which then keeps its version. */
    @Test
    public void shouldNotAskAgainForWhatWasReceived() {
        RouteGap gap = RouteGap.none();
        gap.shouldAsk(START, HELD, 60);
        assertTrue(gap.shouldAsk(at(300), HELD, 60));
        gap.received(60);

        assertFalse(gap.shouldAsk(at(900), HELD, 60));
        assertFalse(gap.shouldAsk(at(1_000), HELD, 61));
        assertTrue(gap.shouldAsk(at(1_300), HELD, 61));
    }

    private static Routes held(long version) {
        return new Routes(version, 7, List.of(), Set.of());
    }

    private static long at(long millis) {
        return START + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
