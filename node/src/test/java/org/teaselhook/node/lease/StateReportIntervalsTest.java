package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseTimes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StateReportIntervalsTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long START = SECOND;

    @DataProvider
    public Object[][] entries() {
        return new Object[][] {{1}, {3}, {11}, {15}, {96}};
    }

    /** With six agents per entry and every entry ordering from every agent, the rate of reports must not grow. */
    @Test(dataProvider = "entries")
    public void shouldSendNoMoreReportsToEntryOfLargeSiteThanOfSmallSite(int entries) {
        int agents = 6 * entries;
        long messagesPerSecond = agents * SECOND / StateReportIntervals.reportInterval(entries, entries);
        assertTrue(messagesPerSecond <= 6 * 1_200 / entries, "messages per second: " + messagesPerSecond);
    }

    @Test
    public void shouldReportUseToThreeEntriesInTimeForNextOrder() {
        assertEquals(StateReportIntervals.reportInterval(3, 3), TimeUnit.MICROSECONDS.toNanos(7_500));
    }

    @DataProvider
    public Object[][] recentOrderCases() {
        return new Object[][] {{true}, {false}};
    }

    /** One heartbeat may be lost or late before an entry times out. */
    @Test(dataProvider = "recentOrderCases")
    public void shouldFitTwoHeartbeatsIntoEntryTimeout(boolean hasRecentOrder) {
        long timeout = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        assertTrue(2 * StateReportIntervals.heartbeatInterval(hasRecentOrder) <= timeout);
    }

    @Test
    public void shouldCountOrderAsRecentForSomeBatchesOfTasks() {
        RunLink link = new RunLink(new InetSocketAddress("127.0.0.1", 1), START);
        assertFalse(link.hasRecentOrder(START));
        link.recordOrder(START);

        assertTrue(link.hasRecentOrder(START + SECOND / 2));
        assertFalse(link.hasRecentOrder(START + SECOND / 2 + 1));
    }

    @Test
    public void shouldScheduleStateReportForEarliestDueTimeUntilItIsSent() {
        RunLink link = new RunLink(new InetSocketAddress("127.0.0.1", 1), START);
        link.scheduleState(START + 20);
        link.scheduleState(START + 10);
        link.scheduleState(START + 30);
        assertEquals(link.stateDueAt(), START + 10);

        link.recordStateSent(START + 10);
        assertEquals(link.stateDueAt(), Long.MAX_VALUE);
    }
}
