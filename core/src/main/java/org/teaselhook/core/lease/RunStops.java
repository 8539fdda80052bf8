package org.teaselhook.core.lease;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Stops runs on the worker. A stop call is repeated until the worker confirms it, and again if the run is still listed
 * after that. Confined to the control thread.
 */
final class RunStops {

    /** The delay before an unanswered call is retried, in ns: long enough not to overload a worker that is down. */
    static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final FencedCalls calls;
    private final KnownWorker worker;
    private final RunTable runs;
    private final LeaseLog log;
    private final LongConsumer fenced;
    private final Runnable overdueChanged;

    /**
     * Creates the stops of a worker's runs.
     *
     * @param fenced raises the fencing token, at the time that it is given, after the worker has refused it
     * @param overdueChanged called when the result of {@link RunTable#hasOverdueStop} has changed
     */
    RunStops(
            FencedCalls calls,
            KnownWorker worker,
            RunTable runs,
            LeaseLog log,
            LongConsumer fenced,
            Runnable overdueChanged) {
        this.calls = Objects.requireNonNull(calls, "calls is null");
        this.worker = Objects.requireNonNull(worker, "worker is null");
        this.runs = Objects.requireNonNull(runs, "runs is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.fenced = Objects.requireNonNull(fenced, "fenced is null");
        this.overdueChanged = Objects.requireNonNull(overdueChanged, "overdueChanged is null");
    }

    /** Stops a run whose order was withdrawn at the given time, which may be before the present. */
    void withdraw(long withdrawnAt, Run run) {
        update(withdrawnAt, run, () -> run.withdraw(withdrawnAt));
        callIfRequested(withdrawnAt, run);
    }

    /** Calls a requested stop once the run is known to have begun: its start call is answered, or a list shows it. */
    void callIfRequested(long nowNanos, Run run) {
        if (run.isStopRequested() && run.state() == Run.State.RUNNING) {
            call(nowNanos, run);
        }
    }

    void call(long nowNanos, Run run) {
        boolean wasOverdue = run.isStopOverdue();
        run.markStopping();
        logIfOverdue(nowNanos, run, wasOverdue);
        RunId id = run.id();
        calls.stop(worker.current().orElseThrow(), id, (now, result) -> {
            if (runs.contains(id, run) && run.state() == Run.State.STOPPING) {
                answered(now, run, result);
            }
        });
    }

    private void answered(long nowNanos, Run run, StopResult result) {
        switch (result) {
            case STOPPED -> update(nowNanos, run, () -> run.markStopped(nowNanos));
            case FENCED -> {
                fenced.accept(nowNanos);
                call(nowNanos, run);
            }
            default -> update(nowNanos, run, () -> run.recordUnansweredStop(nowNanos + RETRY_NANOS));
        }
    }

    private void update(long nowNanos, Run run, Runnable change) {
        boolean wasOverdue = run.isStopOverdue();
        boolean wasAnyOverdue = runs.hasOverdueStop();
        change.run();
        logIfOverdue(nowNanos, run, wasOverdue);
        if (runs.hasOverdueStop() != wasAnyOverdue) {
            overdueChanged.run();
        }
    }

    private void logIfOverdue(long nowNanos, Run run, boolean wasOverdue) {
        if (run.isStopOverdue() && !wasOverdue) {
            log.stopOverdue(run.request().order(), run.id(), run.nanosSinceWithdrawal(nowNanos));
        }
    }

    /** Retries unanswered calls that are due. */
    void tick(long nowNanos) {
        runs.all(run -> run.isStopRetryDue(nowNanos)).forEach(run -> call(nowNanos, run));
    }
}
