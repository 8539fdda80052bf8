package org.teaselhook.core.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Estimates from learned run times and the queue whether a submission can complete by its deadline.
 */
final class CompletionForecast {

    private static final long TRANSPORT_ALLOWANCE_NANOS = 10_000_000L;
    private static final long MIN_RETRY_NANOS = 100_000_000L;
    private static final long MAX_RETRY_NANOS = 30_000_000_000L;
    private static final double RETRY_JITTER = 0.5;

    private final DispatchContext context;

    CompletionForecast(DispatchContext context) {
        this.context = context;
    }

    // -- planning

    /** Sets the latest start time that meets a task's deadline, and its expected work. */
    void plan(long nowNanos, ActiveTask task, ServicePool pool) {
        Submission submission = task.submission().submission();
        RunTimeEstimate runTime = pool.runTime(task.request());
        task.plan(latestStart(nowNanos, submission, runTime), runTime.mean());
    }

    private static long latestStart(long nowNanos, Submission submission, RunTimeEstimate runTime) {
        long budget = submission.deadline() - submission.startedAt();
        long least = runTime.isLearned(nowNanos) ? runTime.median() : 0;
        long needed = Math.min(runTime.p90(), Math.max(least, budget / 2));
        return submission.deadline() - Math.min(needed, budget - TRANSPORT_ALLOWANCE_NANOS) - TRANSPORT_ALLOWANCE_NANOS;
    }

    // -- refusal

    /** Returns the problem of a submission that cannot complete by its deadline; empty if it can or is not known. */
    Optional<Problem> refusal(long nowNanos, Submission submission, ServicePool pool) {
        long work = 0;
        long longest = 0;
        long latestStart = Long.MAX_VALUE;
        for (TaskRequest task : submission.tasks()) {
            RunTimeEstimate runTime = pool.runTime(task);
            if (!runTime.isLearned(nowNanos)) {
                return Optional.empty();
            }
            work += runTime.mean();
            longest = Math.max(longest, runTime.median());
            latestStart = Math.min(latestStart, latestStart(nowNanos, submission, runTime));
        }
        Optional<Problem> refusal = neverFitsRefusal(submission, pool, work, longest);
        return refusal.isPresent() ? refusal : overloadRefusal(nowNanos, submission, pool, work, latestStart);
    }

    private static Optional<Problem> neverFitsRefusal(
            Submission submission, ServicePool pool, long work, long longest) {
        long budget = submission.deadline() - submission.startedAt();
        long least = Math.max(longest, work / Math.max(1, pool.slotsInService()));
        if (least <= budget) {
            return Optional.empty();
        }
        String detail = "tasks=" + submission.size() + " need about " + millis(least) + " ms on all "
                + pool.slotsInService() + " slots; the timeout is " + millis(budget) + " ms";
        return Optional.of(Problem.of(ProblemKind.NEVER_FITS, detail));
    }

    private Optional<Problem> overloadRefusal(
            long nowNanos, Submission submission, ServicePool pool, long work, long latestStart) {
        int weight = context.weightOf(submission.customer());
        long workAhead = pool.queue().workAhead(nowNanos, submission.customer(), weight, latestStart);
        int tasks = submission.size();
        long lastStart = lastStart(nowNanos, tasks, work, workAhead, pool.capacity(nowNanos));
        if (lastStart <= latestStart
                || lastStart(nowNanos, tasks, work, workAhead, availableSlots(pool)) <= latestStart) {
            return Optional.empty();
        }
        String detail = "queued=" + pool.queue().size() + "; the last task would start "
                + millis(lastStart - latestStart) + " ms too late";
        return Optional.of(Problem.of(ProblemKind.OVERLOADED, detail, retryAfter(lastStart - latestStart)));
    }

    /** Counts the available slots in O(workers), therefore only for submissions that would otherwise be refused. */
    private static int availableSlots(ServicePool pool) {
        return Math.max(1, pool.availableSlots());
    }

    /** Estimates when the last task starts: after the queued work ahead, and the rounds that its own tasks take. */
    private static long lastStart(long nowNanos, int tasks, long work, long workAhead, double slots) {
        long rounds = (long) ((tasks - 1) / slots);
        return nowNanos + (long) (workAhead / slots) + rounds * (work / tasks);
    }

    /** Returns a wait with random jitter, after which the queue is expected to have shrunk by the given time. */
    Duration retryAfter(long excessNanos) {
        long bounded = Math.max(MIN_RETRY_NANOS, Math.min(MAX_RETRY_NANOS, excessNanos));
        return Duration.ofNanos(
                (long) (bounded * (1 + RETRY_JITTER * context.random().nextDouble())));
    }

    /** Returns a wait derived from the work that is queued now. */
    Duration retryAfter(long nowNanos, ServicePool pool) {
        return retryAfter((long) (pool.queue().totalWork() / pool.capacity(nowNanos)));
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
