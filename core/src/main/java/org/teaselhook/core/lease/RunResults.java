package org.teaselhook.core.lease;

import java.util.concurrent.TimeUnit;

/**
 * Removes runs whose result is known from the table, and reports the result: the end of a run that may have begun, or
 * the refusal of one that has not begun and never will.
 */
final class RunResults {

    private final RunTable runs;
    private final RunListener listener;

    RunResults(RunTable runs, RunListener listener) {
        this.runs = runs;
        this.listener = listener;
    }

    /** Reports a run whose end the worker has listed. */
    void ended(long nowNanos, Lease lease, Run run, RunOutcome outcome) {
        Object[] details = run.isWithdrawn()
                ? new Object[] {
                    "withdrawn_ms", TimeUnit.NANOSECONDS.toMillis(run.nanosSinceWithdrawal(nowNanos)),
                    "stop_calls", run.stopCalls(),
                    "renewed_ms", TimeUnit.NANOSECONDS.toMillis(lease.nanosSinceRenewal(nowNanos))
                }
                : new Object[0];
        ended(nowNanos, run, outcome, new EndReport(run.id(), EndEvidence.LISTED_END, details));
    }

    /** Reports a run that is missing from a list that was requested at the given time. */
    void unlisted(long nowNanos, long requestedAt, Run run) {
        long requestedAfterMicros = TimeUnit.NANOSECONDS.toMicros(requestedAt - run.confirmedAt());
        long listMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - requestedAt);
        Object[] details = {"requested_after_us", requestedAfterMicros, "list_ms", listMillis};
        ended(nowNanos, run, RunOutcome.LOST, new EndReport(run.id(), run.evidenceIfUnlisted(), details));
    }

    /** Reports a run whose lease has certainly expired. */
    void leaseExpired(long nowNanos, Lease lease, PollResult lastPoll, Run run) {
        long renewedMillis = TimeUnit.NANOSECONDS.toMillis(lease.nanosSinceRenewal(nowNanos));
        Object[] details = {"renewed_ms", renewedMillis, "last_poll", lastPoll};
        ended(nowNanos, run, RunOutcome.LOST, new EndReport(run.id(), EndEvidence.LEASE_EXPIRED, details));
    }

    /** Reports a run, not known to have begun, of a worker that has announced its end and whose lease has expired. */
    void workerLeft(long nowNanos, Run run) {
        ended(nowNanos, run, RunOutcome.LOST, new EndReport(run.id(), EndEvidence.WORKER_LEFT));
    }

    private void ended(long nowNanos, Run run, RunOutcome outcome, EndReport report) {
        runs.remove(run);
        if (run.hasBegun()) {
            long runMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - run.orderedAt());
            listener.ended(run.request(), outcome, runMillis, report);
        } else {
            listener.refused(run.request(), RunRefusal.UNANSWERED, report);
        }
        listener.freeCapacityChanged();
    }

    /** Reports an order whose last start call was refused. */
    void refused(Run run, StartResult result) {
        refused(run, result, result.refusal());
    }

    /** Reports an order whose last start call was refused, for another reason than that of the worker. */
    void refused(Run run, StartResult result, RunRefusal reason) {
        runs.remove(run);
        EndReport report = new EndReport(run.id(), EndEvidence.of(result), "start_calls", run.startCalls());
        listener.refused(run.request(), run.isStopRequested() ? RunRefusal.CANCELLED : reason, report);
        listener.freeCapacityChanged();
    }
}
