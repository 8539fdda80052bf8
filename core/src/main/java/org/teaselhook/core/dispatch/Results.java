package org.teaselhook.core.dispatch;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.retry.Budget;

/**
 * Decides what follows from the end of an order: an answer, another try, or the failure of the submission.
 */
final class Results {

    private static final double RETRIES_PER_TASK = 0.1;
    private static final double MOST_RETRIES_SAVED = 50;
    private static final int MOST_STARTS = 4;
    private static final int REFUSALS_AT_ONCE = 2;
    private static final long FIRST_BACKOFF_NANOS = 5_000_000L;
    private static final int MOST_DOUBLINGS = 5;
    private static final long BLOCK_NANOS = 250_000_000L;

    private final Control control;
    private final Fleet fleet;
    private final Scheduler scheduler;
    private final Settlement settlement;
    private final Forecast forecast;
    private final Budget retries = Budget.of(RETRIES_PER_TASK, MOST_RETRIES_SAVED);

    Results(Control control, Fleet fleet, Scheduler scheduler, Settlement settlement, Forecast forecast) {
        this.control = control;
        this.fleet = fleet;
        this.scheduler = scheduler;
        this.settlement = settlement;
        this.forecast = forecast;
    }

    void submitted() {
        retries.earn();
    }

    // -- results

    void result(long nowNanos, Attempt attempt, TaskStatus status, Answer answer, long runNanos) {
        ActiveTask task = attempt.task();
        scheduler.close(nowNanos, attempt, true);
        learn(nowNanos, attempt, status, runNanos);
        if (task.isDone()) {
            countLate(attempt);
            settlement.completeLate(task, status, answer);
        } else if (status == TaskStatus.COMPLETE) {
            complete(nowNanos, task, answer);
        } else {
            String detail = "worker=" + attempt.member().worker().info().name() + " status=" + status;
            failed(nowNanos, attempt, Problem.of(ProblemKind.TARGET_FAILED, detail));
        }
    }

    private void learn(long nowNanos, Attempt attempt, TaskStatus status, long runNanos) {
        Member member = attempt.member();
        if (status != TaskStatus.COMPLETE) {
            fleet.observe(nowNanos, member, () -> member.health().failed(nowNanos));
            return;
        }
        RunTimeEstimate runTime = member.pool().runTime(attempt.task().request());
        double ratio = runTime.isLearned(nowNanos) ? (double) runNanos / runTime.typical() : 1;
        fleet.observe(nowNanos, member, () -> member.health().succeeded(nowNanos, ratio));
        if (member.health().isTypical()) {
            runTime.add(nowNanos, runNanos);
        }
    }

    private void countLate(Attempt attempt) {
        control.counters().lateResults++;
        if (attempt.task().starts() > 1) {
            control.counters().lostHedges++;
        }
    }

    private void complete(long nowNanos, ActiveTask task, Answer answer) {
        ActiveSubmission submission = task.submission();
        scheduler.dequeue(task);
        submission.complete(task, answer);
        task.open().forEach(scheduler::cancel);
        if (submission.unfinished() == 0) {
            settlement.complete(submission);
        }
    }

    // -- failures

    /** Follows up an order under which the task may have run. */
    void failed(long nowNanos, Attempt attempt, Problem problem) {
        ActiveTask task = attempt.task();
        if (task.isDone() || !task.open().isEmpty() || task.isQueued()) {
            return;
        }
        task.avoid(attempt.member());
        if (mayRetry(nowNanos, task)) {
            control.counters().retries++;
            requeue(nowNanos, attempt, problem.kind().name());
        } else {
            settlement.fail(nowNanos, task.submission(), DecisionKind.FAILED, problem);
        }
    }

    /** Places a task elsewhere while its worker is silent, if it may start twice. */
    void silent(long nowNanos, Attempt attempt) {
        ActiveTask task = attempt.task();
        boolean covered = task.open().size() > 1 || task.isQueued();
        if (task.isDone() || covered || attempt.isLost() || !mayRetry(nowNanos, task)) {
            return;
        }
        attempt.lost();
        task.avoid(attempt.member());
        control.counters().retries++;
        requeue(nowNanos, attempt, "SILENT");
    }

    private boolean mayRetry(long nowNanos, ActiveTask task) {
        boolean useful = nowNanos <= task.latestStart() && task.starts() < MOST_STARTS;
        return !task.isClaimed() && useful && retries.spend();
    }

    private void requeue(long nowNanos, Attempt attempt, String reason) {
        control.decidedOnTask(DecisionKind.REQUEUED, reason, attempt);
        scheduler.enqueue(nowNanos, attempt.task());
    }

    // -- refusals

    void refused(long nowNanos, Attempt attempt, RefusalReason reason) {
        ActiveTask task = attempt.task();
        Member member = attempt.member();
        scheduler.close(nowNanos, attempt, false);
        if (reason.concernsAgent()) {
            block(nowNanos, member.worker());
        }
        if (reason == RefusalReason.NO_FREE_SLOT && member.pool().usesGrants()) {
            scheduler.refusedOpen(nowNanos, attempt);
        }
        if (reason == RefusalReason.CONNECT_FAILED) {
            fleet.observe(nowNanos, member, () -> member.health().failed(nowNanos));
        }
        if (task.isDone() || !task.open().isEmpty() || task.isQueued()) {
            return;
        }
        task.avoid(member);
        task.refused();
        againAfterRefusal(nowNanos, attempt, reason);
    }

    private void block(long nowNanos, Worker worker) {
        worker.blockUntil(nowNanos + BLOCK_NANOS);
        fleet.refresh(nowNanos, worker);
        control.timers().timer(now -> unblock(now, worker)).set(nowNanos + BLOCK_NANOS);
    }

    private void unblock(long nowNanos, Worker worker) {
        fleet.refresh(nowNanos, worker);
        scheduler.drain(nowNanos, worker);
    }

    private void againAfterRefusal(long nowNanos, Attempt attempt, RefusalReason reason) {
        ActiveTask task = attempt.task();
        int excess = task.refusals() - REFUSALS_AT_ONCE;
        if (nowNanos > task.latestStart()) {
            expired(nowNanos, task);
        } else if (excess <= 0) {
            requeue(nowNanos, attempt, reason.name());
        } else {
            control.decidedOnTask(DecisionKind.REQUEUED, reason.name(), attempt);
            task.wakeAt(nowNanos + (FIRST_BACKOFF_NANOS << Math.min(excess, MOST_DOUBLINGS)));
        }
    }

    // -- time

    /** Follows up a task's timer: its wait before the next try is over, or its latest useful start has passed. */
    void wake(long nowNanos, ActiveTask task) {
        if (task.isDone()) {
            return;
        }
        if (task.isQueued()) {
            scheduler.dequeue(task);
            expired(nowNanos, task);
        } else {
            scheduler.enqueue(nowNanos, task);
            scheduler.drain(nowNanos, task.submission().pool());
        }
    }

    /** Gives up a task that waited until its latest useful start, unless an order is still in progress. */
    void expired(long nowNanos, ActiveTask task) {
        if (!task.open().isEmpty()) {
            return;
        }
        ServicePool pool = task.submission().pool();
        Problem problem = Problem.of(
                ProblemKind.OVERLOADED,
                "queued=" + pool.queue().size() + "; the latest useful start has passed",
                forecast.retryAfter(nowNanos, pool));
        settlement.fail(nowNanos, task.submission(), DecisionKind.FAILED, problem);
    }
}
