package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.teaselhook.core.lease.WorkerRunsTest.report;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** The task of a withdrawn order may soon run elsewhere, whether or not the worker answers stop calls. */
public class UnansweredStopTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long STEP_MILLIS = 10;
    private static final long POLL_MILLIS = 60;
    private static final long CALL_TIMEOUT_MILLIS = 50;
    private static final Incarnation ENTRY = Incarnation.of(7);
    private static final Incarnation OTHER_ENTRY = Incarnation.of(8);

    private FakeWorker worker;
    private RecordingListener listener;
    private WorkerRuns runs;
    private long now;
    private Function<FakeWorker.Stop, StopResult> stopResult;
    private boolean stopsTakeEffect;
    private Map<FakeWorker.Stop, Long> stopsCalledAt;

    @BeforeMethod
    public void openWorker() {
        now = TimeUnit.SECONDS.toNanos(10);
        worker = new FakeWorker();
        listener = new RecordingListener();
        runs = WorkerRuns.of(100, worker, new ImmediateControl(() -> now), listener, new NoOpLeaseLog());
        stopResult = stop -> StopResult.UNKNOWN;
        stopsTakeEffect = true;
        stopsCalledAt = new LinkedHashMap<>();
        runs.workerReported(now, report("w", 1, 1, 64_000, false));
        worker.answerPoll();
    }

    // -- the bound on a withdrawn run

    /** How the start call of the run fares. */
    private enum Beginning {
        ANSWERED {
            @Override
            void apply(FakeWorker worker) {
                worker.accept(worker.lastStart());
            }
        },
        ANSWER_LOST {
            @Override
            void apply(FakeWorker worker) {
                worker.addRun(worker.lastStart().run());
                worker.lastStart().answer().complete(StartResult.UNKNOWN);
            }
        },
        NOT_YET_CARRIED_OUT {
            @Override
            void apply(FakeWorker worker) {
                worker.lastStart().answer().complete(StartResult.UNKNOWN);
            }
        };

        abstract void apply(FakeWorker worker);
    }

    /** Why the run must end. */
    private enum Withdrawal {
        BY_ENTRY {
            @Override
            void apply(UnansweredStopTest test) {
                test.runs.stop(test.now, id(1));
            }
        },
        ENTRY_SILENT_OR_ORDER_RELEASED {
            @Override
            void apply(UnansweredStopTest test) {
                test.runs.stopAll(test.now, order -> order.entry().equals(ENTRY));
            }
        },
        TASK_ORDERED_BY_OTHER_ENTRY {
            @Override
            void apply(UnansweredStopTest test) {
                test.order(new OrderId(OTHER_ENTRY, 1), "a");
            }
        };

        abstract void apply(UnansweredStopTest test);
    }

    @DataProvider
    public Object[][] runsThatStopsDoNotEnd() {
        List<Object[]> cases = new ArrayList<>();
        for (Withdrawal withdrawal : Withdrawal.values()) {
            for (Beginning beginning : Beginning.values()) {
                cases.add(new Object[] {beginning, withdrawal, StopResult.UNKNOWN});
            }
            cases.add(new Object[] {Beginning.ANSWERED, withdrawal, StopResult.STOPPED});
        }
        return cases.toArray(new Object[0][]);
    }

    /** The agent renewed the lease beside unanswered stops, and tasks ran twice when their callers sent them again. */
    @Test(dataProvider = "runsThatStopsDoNotEnd")
    public void shouldNotRenewLeaseOfWithdrawnRunThatMayGoOn(
            Beginning beginning, Withdrawal withdrawal, StopResult result) {
        stopResult = stop -> result;
        stopsTakeEffect = false;
        order(id(1), "a");
        beginning.apply(worker);
        pass(300);
        long withdrawnAtMillis = worker.clockMillis();
        withdrawal.apply(this);

        for (int second = 0; second < 13; second++) {
            pass(1_000);
            order(id(10 + second), "b" + second);
            withdrawal.apply(this);
        }
        assertTrue(
                worker.leaseUntilMillis() <= withdrawnAtMillis + LeaseTimes.LEASE_MILLIS,
                "withdrawn at " + withdrawnAtMillis + ", lease until " + worker.leaseUntilMillis());
    }

    /** An agent that was stalled finds an entry silent some time after the time-out; the bound counts from that. */
    @Test
    public void shouldLimitLeaseByTimeOfWithdrawal() {
        order(id(1), "a");
        worker.accept(worker.lastStart());
        pass(300);
        long withdrawnAtMillis = worker.clockMillis();
        now += 250 * MILLI;
        worker.advance(250);
        runs.stopAll(now - 250 * MILLI, order -> order.entry().equals(ENTRY));
        pass(1_000);

        assertTrue(worker.leaseUntilMillis() <= withdrawnAtMillis + LeaseTimes.LEASE_MILLIS);
    }

    /** A start call that reaches the next incarnation begins a run there, which may outlive its stops as well. */
    @Test
    public void shouldNotRenewLeaseOfWithdrawnRunOnNextIncarnation() {
        order(id(1), "a");
        worker.accept(worker.lastStart());
        pass(300);
        long withdrawnAtMillis = worker.clockMillis();
        runs.stop(now, id(1));
        worker.restart(2);
        worker.addRun(new RunId("a", 1));
        pass(3_000);

        assertTrue(worker.leaseUntilMillis() <= withdrawnAtMillis + LeaseTimes.LEASE_MILLIS);
        assertEquals(listener.all(), List.of());
    }

    @Test
    public void shouldPollWithWaitWhileLeaseIsNotRenewed() {
        order(id(1), "a");
        worker.accept(worker.lastStart());
        pass(300);
        runs.stop(now, id(1));
        pass(1_000);

        assertEquals(worker.lastPoll().waitMillis(), LeaseTimes.POLL_WAIT_MILLIS);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {Beginning.ANSWERED, RunOutcome.LOST, "1 LOST"}, {Beginning.NOT_YET_CARRIED_OUT, null, "1 UNANSWERED"},
        };
    }

    @Test(dataProvider = "ends")
    public void shouldRenewLeaseAgainOnceRunHasEnded(Beginning beginning, RunOutcome outcome, String expected) {
        order(id(1), "a");
        beginning.apply(worker);
        pass(300);
        runs.stop(now, id(1));
        pass(2_000);
        assertEquals(listener.all(), List.of());

        if (outcome != null) {
            worker.end(new RunId("a", 1), outcome);
        }
        stopResult = stop -> StopResult.STOPPED;
        pass(500);
        assertEquals(listener.all(), List.of(expected));
        assertTrue(worker.leaseUntilMillis() > worker.clockMillis() + LeaseTimes.LEASE_MILLIS / 2);
        assertTrue(runs.availableWorker().isPresent());
    }

    // -- the other runs on the worker

    /** Stops of different runs overlap; each is answered at the second call, long before the lease expires. */
    @Test
    public void shouldRenewLeaseBesideStopsThatAreAnsweredInTime() {
        stopResult = stop -> worker.stops().stream()
                                .filter(other -> other.run().equals(stop.run()))
                                .count()
                        > 1
                ? StopResult.STOPPED
                : StopResult.UNKNOWN;
        order(id(1), "a");
        worker.accept(worker.lastStart());
        for (int i = 2; i < 100; i++) {
            order(id(i), "b" + i);
            worker.accept(worker.lastStart());
            runs.stop(now, id(i));
            pass(50);
            assertTrue(
                    worker.leaseUntilMillis() > worker.clockMillis() + LeaseTimes.LEASE_MILLIS / 2,
                    "at the stop of run " + i + " the lease has " + (worker.leaseUntilMillis() - worker.clockMillis())
                            + " ms left");
        }
    }

    @DataProvider
    public Object[][] failedStops() {
        return new Object[][] {{1, true}, {2, false}, {3, false}};
    }

    @Test(dataProvider = "failedStops")
    public void shouldRefuseOrdersAfterSecondFailedStopOfWithdrawnRun(int failed, boolean available) {
        order(id(1), "a");
        worker.accept(worker.lastStart());
        runs.stop(now, id(1));
        failStops(failed);
        assertEquals(runs.availableWorker().isPresent(), available);

        worker.stops().get(failed).answer().complete(StopResult.STOPPED);
        worker.end(new RunId("a", 1), RunOutcome.STOPPED);
        worker.answerPoll();
        assertTrue(runs.availableWorker().isPresent());
    }

    @Test
    public void shouldNotRepeatRefusedStartWhileStopsFail() {
        order(id(1), "a");
        worker.accept(worker.lastStart());
        order(id(2), "b");
        runs.stop(now, id(1));
        failStops(2);
        worker.lastStart().answer().complete(StartResult.OLD_RUN);

        assertEquals(listener.all(), List.of("2 NO_WORKER"));
    }

    /** A start that nobody has withdrawn may be carried out late; its stop calls do not concern the other runs. */
    @Test
    public void shouldKeepWorkerWhileStopsOfUnansweredStartFail() {
        order(id(1), "a");
        worker.lastStart().answer().complete(StartResult.UNKNOWN);
        failStops(3);
        pass(500);
        assertTrue(runs.availableWorker().isPresent());
        assertTrue(worker.leaseUntilMillis() > worker.clockMillis() + LeaseTimes.LEASE_MILLIS / 2);

        runs.stop(now, id(1));
        assertFalse(runs.availableWorker().isPresent());
    }

    // -- fixture

    /** Lets stop calls fail until the given number has; the next one is in flight then. */
    private void failStops(int count) {
        for (int i = 0; i < count; i++) {
            worker.stops().get(i).answer().complete(StopResult.UNKNOWN);
            now = runs.nextTickAt();
            runs.tick(now);
        }
    }

    /** Passes time, in which polls are answered, and stop calls as {@code stopResult} says; others time out. */
    private void pass(long millis) {
        for (long passed = STEP_MILLIS; passed <= millis; passed += STEP_MILLIS) {
            now += STEP_MILLIS * MILLI;
            worker.advance(STEP_MILLIS);
            answerStops();
            if (runs.nextTickAt() <= now) {
                runs.tick(now);
            }
            if (passed % POLL_MILLIS == 0) {
                worker.answerPolls();
            }
        }
    }

    private void answerStops() {
        for (FakeWorker.Stop stop : List.copyOf(worker.stops())) {
            long calledAt = stopsCalledAt.computeIfAbsent(stop, key -> now);
            StopResult result = stopResult.apply(stop);
            if (result != StopResult.UNKNOWN || now - calledAt >= CALL_TIMEOUT_MILLIS * MILLI) {
                stop.answer().complete(result);
            }
            if (result == StopResult.STOPPED && stopsTakeEffect && worker.isRunning(stop.run())) {
                worker.end(stop.run(), RunOutcome.STOPPED);
            }
        }
    }

    private void order(OrderId order, String task) {
        ResourceAmounts amounts = ResourceAmounts.of(100, 1, 0);
        runs.order(now, new RunRequest(order, new RunId(task, 1), "s", "", amounts, 200, now + 1_000 * MILLI));
    }

    private static OrderId id(long number) {
        return new OrderId(ENTRY, number);
    }
}
