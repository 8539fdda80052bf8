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

    void ended(long nowNanos, Run run, RunOutcome outcome) {
        runs.remove(run);
        if (run.hasBegun()) {
            listener.ended(run.request(), outcome, TimeUnit.NANOSECONDS.toMillis(nowNanos - run.orderedAt()));
        } else {
            listener.refused(run.request(), RunRefusal.UNANSWERED);
        }
        listener.freeCapacityChanged();
    }

    void refused(Run run, RunRefusal refusal) {
        runs.remove(run);
        listener.refused(run.request(), run.isStopRequested() ? RunRefusal.CANCELLED : refusal);
        listener.freeCapacityChanged();
    }
}
