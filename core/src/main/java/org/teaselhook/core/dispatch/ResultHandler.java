package org.teaselhook.core.dispatch;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.retry.Budget;

/**
 * Handles the end of an order: records an answer, retries the task, or fails the submission.
 */
final class ResultHandler {

    private static final double RETRIES_PER_TASK = 0.1;
    private static final double MAX_SAVED_RETRIES = 50;
    private static final int MAX_STARTS = 4;
    private static final int REFUSALS_BEFORE_BACKOFF = 2;
    private static final long FIRST_BACKOFF_NANOS = 5_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final long BLOCK_NANOS = 250_000_000L;

    private final DispatchContext context;
    private final WorkerRegistry registry;
    private final Scheduler scheduler;
    private final SubmissionTracker tracker;
    private final CompletionForecast forecast;
    private final Budget retryBudget = Budget.of(RETRIES_PER_TASK, MAX_SAVED_RETRIES);

    ResultHandler(
            DispatchContext context,
            WorkerRegistry registry,
            Scheduler scheduler,
            SubmissionTracker tracker,
            CompletionForecast forecast) {
        this.context = context;
        this.registry = registry;
        this.scheduler = scheduler;
        this.tracker = tracker;
        this.forecast = forecast;
    }

    void submissionAdmitted() {
        retryBudget.earn();
    }

    // -- results

    void handleResult(long nowNanos, Attempt attempt, TaskStatus status, Answer answer, long runNanos) {
        ActiveTask task = attempt.task();
        scheduler.endAttempt(nowNanos, attempt, true);
        recordObservation(nowNanos, attempt, status, runNanos);
        if (task.isDone()) {
            countLate(attempt);
            tracker.completeLate(task, status, answer);
        } else if (status == TaskStatus.COMPLETE) {
            complete(nowNanos, task, answer);
        } else {
            String detail = "worker=" + attempt.member().worker().info().name() + " status=" + status;
            handleFailure(nowNanos, attempt, Problem.of(ProblemKind.TARGET_FAILED, detail));
        }
    }

    private void recordObservation(long nowNanos, Attempt attempt, TaskStatus status, long runNanos) {
        PoolMember member = attempt.member();
        if (status != TaskStatus.COMPLETE) {
            registry.observe(nowNanos, member, () -> member.health().recordFailure(nowNanos));
            return;
        }
        RunTimeEstimate runTime = member.pool().runTime(attempt.task().request());
        double ratio = runTime.isLearned(nowNanos) ? (double) runNanos / runTime.median() : 1;
        registry.observe(nowNanos, member, () -> member.health().recordSuccess(nowNanos, ratio));
        if (member.health().isTypical()) {
            runTime.add(nowNanos, runNanos);
        }
    }

    private void countLate(Attempt attempt) {
        context.counters().lateResults++;
        if (attempt.task().starts() > 1) {
            context.counters().lostHedges++;
        }
    }

    private void complete(long nowNanos, ActiveTask task, Answer answer) {
        ActiveSubmission submission = task.submission();
        scheduler.dequeue(task);
        submission.complete(task, answer);
        task.attempts().forEach(scheduler::cancel);
        if (submission.unfinished() == 0) {
            tracker.complete(submission);
        }
    }

    // -- failures

    /** Retries a task after an order under which it may have run, or fails its submission. */
    void handleFailure(long nowNanos, Attempt attempt, Problem problem) {
        ActiveTask task = attempt.task();
        if (task.isDone() || !task.attempts().isEmpty() || task.isQueued()) {
            return;
        }
        task.avoid(attempt.member());
        if (mayRetry(nowNanos, task)) {
            context.counters().retries++;
            requeue(nowNanos, attempt, problem.kind().name());
        } else {
            tracker.fail(nowNanos, task.submission(), DecisionKind.FAILED, problem);
        }
    }

    /** Requeues a task whose worker is unresponsive, if it may start more than once. */
    void handleUnresponsiveWorker(long nowNanos, Attempt attempt) {
        ActiveTask task = attempt.task();
        boolean hasOtherAttempt = task.attempts().size() > 1 || task.isQueued();
        if (task.isDone() || hasOtherAttempt || attempt.isRescheduled() || !mayRetry(nowNanos, task)) {
            return;
        }
        attempt.markRescheduled();
        task.avoid(attempt.member());
        context.counters().retries++;
        requeue(nowNanos, attempt, "SILENT");
    }

    private boolean mayRetry(long nowNanos, ActiveTask task) {
        boolean startable = nowNanos <= task.latestStart() && task.starts() < MAX_STARTS;
        return !task.isAtMostOnce() && startable && retryBudget.spend();
    }

    private void requeue(long nowNanos, Attempt attempt, String reason) {
        context.recordTaskDecision(DecisionKind.REQUEUED, reason, attempt);
        scheduler.enqueue(nowNanos, attempt.task());
    }

    // -- refusals

    void handleRefusal(long nowNanos, Attempt attempt, RefusalReason reason) {
        ActiveTask task = attempt.task();
        PoolMember member = attempt.member();
        scheduler.endAttempt(nowNanos, attempt, false);
        if (reason.appliesToAgent()) {
            block(nowNanos, member.worker());
        }
        if (reason == RefusalReason.NO_FREE_SLOT && member.pool().usesGrants()) {
            scheduler.openSlotRefused(nowNanos, attempt);
        }
        if (reason == RefusalReason.CONNECT_FAILED) {
            registry.observe(nowNanos, member, () -> member.health().recordFailure(nowNanos));
        }
        if (task.isDone() || !task.attempts().isEmpty() || task.isQueued()) {
            return;
        }
        task.avoid(member);
        task.countRefusal();
        retryAfterRefusal(nowNanos, attempt, reason);
    }

    private void block(long nowNanos, Worker worker) {
        worker.blockUntil(nowNanos + BLOCK_NANOS);
        registry.refresh(nowNanos, worker);
        context.timers().timer(now -> unblock(now, worker)).set(nowNanos + BLOCK_NANOS);
    }

    private void unblock(long nowNanos, Worker worker) {
        registry.refresh(nowNanos, worker);
        scheduler.drain(nowNanos, worker);
    }

    private void retryAfterRefusal(long nowNanos, Attempt attempt, RefusalReason reason) {
        ActiveTask task = attempt.task();
        int excess = task.refusals() - REFUSALS_BEFORE_BACKOFF;
        if (nowNanos > task.latestStart()) {
            handleExpiry(nowNanos, task);
        } else if (excess <= 0) {
            requeue(nowNanos, attempt, reason.name());
        } else {
            context.recordTaskDecision(DecisionKind.REQUEUED, reason.name(), attempt);
            task.wakeAt(nowNanos + (FIRST_BACKOFF_NANOS << Math.min(excess, MAX_BACKOFF_DOUBLINGS)));
        }
    }

    // -- time

    /** Handles a task's timer: either its backoff is over, or its latest start time has passed. */
    void handleTimer(long nowNanos, ActiveTask task) {
        if (task.isDone()) {
            return;
        }
        if (task.isQueued()) {
            scheduler.dequeue(task);
            handleExpiry(nowNanos, task);
        } else {
            scheduler.enqueue(nowNanos, task);
            scheduler.drain(nowNanos, task.submission().pool());
        }
    }

    /** Fails the submission of a task whose latest start time has passed, unless an order is still in progress. */
    void handleExpiry(long nowNanos, ActiveTask task) {
        if (!task.attempts().isEmpty()) {
            return;
        }
        ServicePool pool = task.submission().pool();
        Problem problem = Problem.of(
                ProblemKind.OVERLOADED,
                "queued=" + pool.queue().size() + "; the latest start time that meets the deadline has passed",
                forecast.retryAfter(nowNanos, pool));
        tracker.fail(nowNanos, task.submission(), DecisionKind.FAILED, problem);
    }
}
