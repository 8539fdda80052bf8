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
     * One slot; requests with ideal response times of 100, 400, 150 and 54 ms arrive at 0, 10, 20 and 30 ms. The first
     * task ends at 96 ms, then the queue order decides. Timeouts: quote 8 s, rendering 20 s, pinhole check 5 s. The
     * smallest slowdown is that of the first request, 1.
     */
    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            // 400 waits 86 ms, 150 waits 76 + 392, 54 waits 66 + 392 + 146
            {QueueOrder.ARRIVAL, List.of(1.0, 1.215, 4.12, 12.185)},
            // latest start times: 150 at 4,874 ms, 54 at 4,980 ms, 400 at 7,618 ms
            {QueueOrder.LATEST_START, List.of(1.0, 1.705, 1.507, 4.926)},
            {QueueOrder.SHORTEST, List.of(1.0, 1.705, 1.84, 2.222)},
        };
    }

    @Test(dataProvider = "orders")
    public void shouldStartTasksInQueueOrder(QueueOrder order, List<Double> slowdowns) {
        Histogram measured = new IdealQueue(order, 1)
                .slowdowns(List.of(
                        request(RequestKind.PINHOLE_CHECK, 0, 96.0),
                        request(RequestKind.QUOTE, 10, 392.0),
                        request(RequestKind.PINHOLE_CHECK, 20, 146.0),
                        request(RequestKind.PINHOLE_CHECK, 30, 50.0)));
        List<Double> sorted = slowdowns.stream().sorted().toList();
        for (int i = 0; i < sorted.size(); i++) {
            assertEquals(LoadRecord.slowdown(measured, 25.0 * (i + 1)), sorted.get(i), 0.01, "request " + i);
        }
    }

    @Test
    public void shouldStartTasksImmediatelyWhileSlotsAreFree() {
        Histogram measured = new IdealQueue(QueueOrder.ARRIVAL, 3)
                .slowdowns(List.of(
                        request(RequestKind.CHART, 0, 100.0, 300.0, 200.0), request(RequestKind.QUOTE, 100, 50.0)));
        assertEquals(LoadRecord.slowdown(measured, 100), 1.0);
    }
}
