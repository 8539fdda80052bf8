package org.teaselhook.bench.load;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class LoadMeasureTest {

    private static final int SLOTS = 88;
    private static final double SECONDS = 400;

    private static PlannedRequest request(double atSeconds, double runMillis) {
        return new PlannedRequest(1, RequestKind.PINHOLE_CHECK, (long) (atSeconds * 1e9), List.of(runMillis));
    }

    // -- Arrivals

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {LoadCase.STEADY70, 0.0, 1.0, 0.7},
            {LoadCase.OVERLOAD2X, 0.0, 0.5, 1.0},
            {LoadCase.OVERLOAD2X, 0.5, 1.0, 2.0},
            {LoadCase.MONDAY, 0.15, 0.25, 6.0},
        };
    }

    @Test(dataProvider = "loads")
    public void shouldOfferLoadOfCase(LoadCase load, double from, double to, double expected) {
        double workMillis = Arrivals.draw(5, load, SECONDS, SLOTS).stream()
                .filter(request -> request.atNanos() >= from * SECONDS * 1e9 && request.atNanos() < to * SECONDS * 1e9)
                .mapToDouble(PlannedRequest::workMillis)
                .sum();
        assertEquals(workMillis / 1e3 / (SECONDS * (to - from)) / SLOTS, expected, 0.06 * expected);
    }

    @Test
    public void shouldDrawSameArrivalsForSameSeed() {
        List<PlannedRequest> first = Arrivals.draw(9, LoadCase.BURST, 5, SLOTS);
        assertEquals(Arrivals.draw(9, LoadCase.BURST, 5, SLOTS), first);
        assertTrue(!Arrivals.draw(10, LoadCase.BURST, 5, SLOTS).equals(first));
    }

    // -- LoadRecord

    @Test
    public void shouldMeasureResponseTimeFromPlannedArrival() {
        LoadRecord record = new LoadRecord(10);
        record.answered(request(2, 100), CallerOutcome.COMPLETE, 2_208, 104);
        assertEquals(record.slowdown(50), "2.000");
        assertEquals(record.goodput(0.2, 0.3, 1), 0.1, 1e-9);
    }

    @Test
    public void shouldComputeFailedShareByArrivalTime() {
        LoadRecord record = new LoadRecord(10);
        record.answered(request(4.5, 100), CallerOutcome.NOT_RUN, 4_600, 104);
        record.answered(request(4.6, 100), CallerOutcome.COMPLETE, 4_710, 104);
        record.answered(request(6, 100), CallerOutcome.MAY_HAVE_RUN, 9_000, 104);
        assertEquals(record.failedShare(4, 5), 0.5);
        assertEquals(record.failedShare(0, 10), 2.0 / 3, 1e-9);
        assertEquals(record.count(CallerOutcome.MAY_HAVE_RUN), 1);
    }
}
