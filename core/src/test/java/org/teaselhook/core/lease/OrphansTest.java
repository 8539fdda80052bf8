package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.teaselhook.core.lease.WorkerRunsTest.report;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Entries take the runs of a former agent for ended once the new one accepts orders. */
public class OrphansTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final RunId ORPHAN = new RunId("old", 3);

    private FakeWorker worker;
    private WorkerRuns runs;
    private long now;

    @BeforeMethod
    public void findOrphan() {
        now = TimeUnit.SECONDS.toNanos(10);
        worker = new FakeWorker();
        worker.addRun(ORPHAN);
        RecordingListener listener = new RecordingListener();
        runs = WorkerRuns.of(100, worker, new ImmediateControl(() -> now), listener, new NoOpLeaseLog());
        runs.workerReported(now, report("w", 1, 8, 4_000, false));
        worker.answerPoll();
        assertEquals(worker.stops().get(0).run(), ORPHAN);
    }

    /** The worker was opened, and the tasks of orphans started elsewhere, while it was still stopping them. */
    @Test
    public void shouldStayClosedUntilEndOfOrphanIsListed() {
        worker.stops().get(0).answer().complete(StopResult.STOPPED);
        worker.unlist(ORPHAN);
        listAfter(1);
        listAfter(49);
        assertFalse(runs.availableWorker().isPresent());

        worker.end(ORPHAN, RunOutcome.STOPPED);
        listAfter(1);
        assertTrue(runs.availableWorker().isPresent());
    }

    /** A stalled worker answers lists before it carries out a stop that it has confirmed. */
    @Test
    public void shouldOpenWithoutListedEndOfOrphanOnlyWhenWorkerHasForgottenIt() {
        worker.stops().get(0).answer().complete(StopResult.STOPPED);
        worker.unlist(ORPHAN);
        for (int millis = 0; millis < 1_000; millis += 50) {
            listAfter(50);
            assertFalse(runs.availableWorker().isPresent(), "after " + millis + " ms");
        }

        listAfter(50);
        assertTrue(runs.availableWorker().isPresent());
        assertEquals(worker.stops().size(), 1);
    }

    @DataProvider
    public Object[][] unconfirmedStops() {
        return new Object[][] {{StopResult.UNKNOWN}, {StopResult.FENCED}, {StopResult.OTHER_WORKER}};
    }

    @Test(dataProvider = "unconfirmedStops")
    public void shouldRepeatUnconfirmedStopOfOrphanThatIsNotListed(StopResult unconfirmed) {
        worker.stops().get(0).answer().complete(unconfirmed);
        worker.unlist(ORPHAN);
        listAfter(100);
        listAfter(100);

        assertFalse(runs.availableWorker().isPresent());
        assertEquals(worker.stops().size(), 3);
    }

    /** A new agent renewed the lease of runs whose stops were not answered, while their tasks started elsewhere. */
    @Test
    public void shouldNotRenewLeaseUntilOrphanHasEnded() {
        for (int polls = 0; polls < 50; polls++) {
            worker.stops().get(worker.stops().size() - 1).answer().complete(StopResult.UNKNOWN);
            listAfter(LeaseTimes.POLL_WAIT_MILLIS);
            assertEquals(worker.leaseUntilMillis(), 0, "poll " + polls);
        }

        worker.end(ORPHAN, RunOutcome.LOST);
        listAfter(1);
        assertTrue(worker.lastPoll().leaseUntil().isPresent());
    }

    // -- fixture

    private void listAfter(long millis) {
        now += millis * MILLI;
        worker.answerPoll();
    }
}
