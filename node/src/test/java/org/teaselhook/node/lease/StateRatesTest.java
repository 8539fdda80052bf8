package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseTimes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StateRatesTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long START = SECOND;

    @DataProvider
    public Object[][] entries() {
        return new Object[][] {{1}, {3}, {11}, {15}, {96}};
    }

    /** All entries order everywhere, and there are six agents for each: what one of them is told does not grow. */
    @Test(dataProvider = "entries")
    public void shouldTellAnEntryOfLargeSiteNoMoreThanOneOfSmallSite(int entries) {
        int agents = 6 * entries;
        long messagesPerSecond = agents * SECOND / StateRates.sharedInterval(entries, entries);
        assertTrue(messagesPerSecond <= 6 * 1_200 / entries, "messages per second: " + messagesPerSecond);
    }

    @Test
    public void shouldTellThreeEntriesOfEachOthersUseInTimeForTheNextOrder() {
        assertEquals(StateRates.sharedInterval(3, 3), TimeUnit.MICROSECONDS.toNanos(7_500));
    }

    @DataProvider
    public Object[][] ordering() {
        return new Object[][] {{true}, {false}};
    }

    /** One heartbeat may be lost or late before an entry counts as silent. */
    @Test(dataProvider = "ordering")
    public void shouldFitTwoHeartbeatsIntoSilenceThatIsBorne(boolean ordering) {
        long silence = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        assertTrue(2 * StateRates.heartbeatInterval(ordering) <= silence);
    }

    @Test
    public void shouldCountEntryAsOrderingForSomeWavesOfTasksAfterItsLastOrder() {
        RunLink link = new RunLink(new InetSocketAddress("127.0.0.1", 1), START);
        assertFalse(link.isOrdering(START));
        link.ordered(START);

        assertTrue(link.isOrdering(START + SECOND / 2));
        assertFalse(link.isOrdering(START + SECOND / 2 + 1));
    }

    @Test
    public void shouldTellStateWhenTheFirstReasonFallsDueAndThenNoMore() {
        RunLink link = new RunLink(new InetSocketAddress("127.0.0.1", 1), START);
        link.stateDue(START + 20);
        link.stateDue(START + 10);
        link.stateDue(START + 30);
        assertEquals(link.stateDueAt(), START + 10);

        link.stateSent(START + 10);
        assertEquals(link.stateDueAt(), Long.MAX_VALUE);
    }
}
