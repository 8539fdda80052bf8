package org.teaselhook.bench.load;

import java.util.List;

import org.HdrHistogram.Histogram;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public final class IdealQueueTest {

    private static PlannedRequest request(RequestKind kind, double atMillis, Double... runMillis) {
        return new PlannedRequest(1, kind, (long) (atMillis * 1e6), List.of(runMillis));
    }

    /**
     * One slot, ideals of 100, 400, 150 and 54 ms at 0, 10, 20 and 30 ms; the first ends at 96 ms, then the order
     * decides. A quote has 8 s, a rendering 20 s, a pinhole check 5 s. The least ratio is the first request's, 1.
     */
    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            // 400 waits 86 ms, 150 waits 76 + 392, 54 waits 66 + 392 + 146
            {QueueOrder.ARRIVAL, List.of(1.0, 1.215, 4.12, 12.185)},
            // by last start: 150 at 4,874 ms, 54 at 4,980 ms, 400 at 7,618 ms
            {QueueOrder.LATEST_START, List.of(1.0, 1.705, 1.507, 4.926)},
            {QueueOrder.SHORTEST, List.of(1.0, 1.705, 1.84, 2.222)},
        };
    }

    @Test(dataProvider = "orders")
    public void shouldTakeTasksInOrder(QueueOrder order, List<Double> ratios) {
        Histogram measured = new IdealQueue(order, 1)
                .ratios(List.of(
                        request(RequestKind.PINHOLE_CHECK, 0, 96.0),
                        request(RequestKind.QUOTE, 10, 392.0),
                        request(RequestKind.PINHOLE_CHECK, 20, 146.0),
                        request(RequestKind.PINHOLE_CHECK, 30, 50.0)));
        List<Double> sorted = ratios.stream().sorted().toList();
        for (int i = 0; i < sorted.size(); i++) {
            assertEquals(LoadRecord.ratio(measured, 25.0 * (i + 1)), sorted.get(i), 0.01, "request " + i);
        }
    }

    @Test
    public void shouldStartEveryTaskAtOnceWhileSlotsAreFree() {
        Histogram measured = new IdealQueue(QueueOrder.ARRIVAL, 3)
                .ratios(List.of(
                        request(RequestKind.CHART, 0, 100.0, 300.0, 200.0), request(RequestKind.QUOTE, 100, 50.0)));
        assertEquals(LoadRecord.ratio(measured, 100), 1.0);
    }
}
