package org.teaselhook.core.lease;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Two runs of a task overlapped, and no log told by which evidence the first had been taken for ended. */
public class EndEvidenceTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private FakeWorker worker;
    private RecordingListener listener;
    private WorkerRuns runs;
    private long now;

    /** How the run "a" 3 of order 1 ends, whose start call is in flight. */
    private enum End {
        LISTED(EndEvidence.LISTED_END, "") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.accept(test.worker.lastStart());
                test.worker.end(new RunId("a", 3), RunOutcome.FAILED);
                test.worker.answerPoll();
            }
        },
        LISTED_AFTER_WITHDRAWAL(EndEvidence.LISTED_END, "withdrawn_ms=60 stop_calls=2 renewed_ms=60") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.accept(test.worker.lastStart());
                test.runs.stop(test.now, new OrderId(Incarnation.of(7), 1));
                test.worker.stops().get(0).answer().complete(StopResult.UNKNOWN);
                test.now += 40 * MILLI;
                test.runs.tick(test.now);
                test.worker.answerPoll();
                test.now += 20 * MILLI;
                test.worker.end(new RunId("a", 3), RunOutcome.STOPPED);
                test.worker.answerPoll();
            }
        },
        UNLISTED_AND_STOPPED(EndEvidence.UNLISTED_AFTER_STOP, "requested_after_us=1000000 list_ms=1") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.lastStart().answer().complete(StartResult.STARTED);
                for (int i = 0; i < 4; i++) {
                    test.now += 30 * MILLI;
                    test.worker.answerPoll();
                }
                test.worker.stops().get(0).answer().complete(StopResult.STOPPED);
                test.now += 1_000 * MILLI;
                test.worker.answerPoll();
                test.now += MILLI;
                test.worker.answerPoll();
            }
        },
        UNLISTED_AFTER_STOP(EndEvidence.UNLISTED_AFTER_STOP, "requested_after_us=80000 list_ms=2") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.lastStart().answer().complete(StartResult.UNKNOWN);
                test.worker.stops().get(0).answer().complete(StopResult.STOPPED);
                test.now += 80 * MILLI;
                test.worker.answerPoll();
                test.now += 2 * MILLI;
                test.worker.answerPoll();
            }
        },
        UNLISTED_BY_NEXT_INCARNATION(EndEvidence.UNLISTED_BY_NEXT_INCARNATION, "requested_after_us=60000 list_ms=0") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.restart(2);
                test.worker.answerPoll();
                test.worker.answerPoll();
                test.now += 60 * MILLI;
                test.worker.answerPoll();
                test.worker.answerPoll();
            }
        },
        LEASE_EXPIRED(EndEvidence.LEASE_EXPIRED, "renewed_ms=700 last_poll=Missed[reason=no answer]") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.accept(test.worker.lastStart());
                test.now += 700 * MILLI;
                test.worker.missPoll();
            }
        },
        WORKER_LEFT(EndEvidence.WORKER_LEFT, "") {
            @Override
            void apply(EndEvidenceTest test) {
                test.runs.workerLeft(test.now, "w");
                test.now += 700 * MILLI;
                test.worker.missPoll();
            }
        },
        START_REFUSED(EndEvidence.START_LEASE_PASSED, "start_calls=1") {
            @Override
            void apply(EndEvidenceTest test) {
                test.worker.lastStart().answer().complete(StartResult.LEASE_PASSED);
            }
        },
        STOPPED_BEFORE_RETRY(EndEvidence.START_OLD_RUN, "start_calls=1") {
            @Override
            void apply(EndEvidenceTest test) {
                test.runs.stop(test.now, new OrderId(Incarnation.of(7), 1));
                test.worker.lastStart().answer().complete(StartResult.OLD_RUN);
            }
        };

        private final EndEvidence evidence;
        private final String details;

        End(EndEvidence evidence, String details) {
            this.evidence = evidence;
            this.details = details;
        }

        abstract void apply(EndEvidenceTest test);
    }

    @BeforeMethod
    public void order() {
        now = TimeUnit.SECONDS.toNanos(10);
        worker = new FakeWorker();
        listener = new RecordingListener();
        runs = WorkerRuns.of(100, worker, new ImmediateControl(() -> now), listener, new NoOpLeaseLog());
        runs.workerReported(now, WorkerRunsTest.report("w", 1, 1, 4_000, false));
        worker.answerPoll();
        order(1, "a", 2_000);
    }

    @DataProvider
    public Object[][] ends() {
        return Stream.of(End.values()).map(end -> new Object[] {end}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "ends")
    public void shouldTellByWhichEvidenceRunEndedOrWasRefused(End end) {
        end.apply(this);

        EndReport report = listener.lastReport();
        assertEquals(listener.all().size(), 1, listener.all().toString());
        assertEquals(report.run(), new RunId("a", 3));
        assertEquals(report.evidence(), end.evidence);
        assertEquals(describe(report), end.details);
    }

    @Test
    public void shouldTellThatWorkerWasNotCalledForOrderThatDoesNotFit() {
        order(2, "b", 3_000);

        assertEquals(listener.lastReport().evidence(), EndEvidence.NOT_CALLED);
        assertEquals(listener.lastReport().run(), new RunId("b", 3));
    }

    @Test(dataProvider = "refusingResults")
    public void shouldNameResultOfStartCallInEvidence(StartResult result, String text) {
        assertEquals(EndEvidence.of(result).text(), text);
    }

    @DataProvider
    public Object[][] refusingResults() {
        return new Object[][] {
            {StartResult.NO_ROOM, "start-no-room"},
            {StartResult.FENCED, "start-fenced"},
            {StartResult.OLD_RUN, "start-old-run"},
            {StartResult.LEASE_PASSED, "start-lease-passed"},
            {StartResult.REFUSED, "start-refused"},
            {StartResult.OTHER_WORKER, "start-other-worker"},
            {StartResult.NOT_SENT, "start-not-sent"},
            {StartResult.UNKNOWN, "start-unanswered"},
        };
    }

    // -- fixture

    private void order(long number, String task, int cpuMillis) {
        OrderId order = new OrderId(Incarnation.of(7), number);
        ResourceAmounts amounts = ResourceAmounts.of(cpuMillis, 10, 0);
        runs.order(now, new RunRequest(order, new RunId(task, 3), "s", "", amounts, 200, now + 1_000 * MILLI));
    }

    private static String describe(EndReport report) {
        List<String> texts =
                Arrays.stream(report.details()).map(String::valueOf).toList();
        StringBuilder result = new StringBuilder();
        for (int i = 0; i + 1 < texts.size(); i += 2) {
            result.append(i == 0 ? "" : " ").append(texts.get(i)).append('=').append(texts.get(i + 1));
        }
        return result.toString();
    }
}
