package org.teaselhook.core.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Estimates, from learned run times and the queue, whether a submission can be finished in time.
 */
final class Forecast {

    private static final long TRANSPORT_NANOS = 10_000_000L;
    private static final long LEAST_RETRY_NANOS = 100_000_000L;
    private static final long GREATEST_RETRY_NANOS = 30_000_000_000L;
    private static final double RETRY_SPREAD = 0.5;

    private final Control control;

    Forecast(Control control) {
        this.control = control;
    }

    // -- planning

    /** Sets a task's latest useful start and expected work. */
    void plan(long nowNanos, ActiveTask task, ServicePool pool) {
        Submission submission = task.submission().submission();
        RunTimeEstimate runTime = pool.runTime(task.request());
        task.plan(latestStart(nowNanos, submission, runTime), runTime.mean());
    }

    private static long latestStart(long nowNanos, Submission submission, RunTimeEstimate runTime) {
        long budget = submission.deadline() - submission.startedAt();
        long least = runTime.isLearned(nowNanos) ? runTime.typical() : 0;
        long needed = Math.min(runTime.high(), Math.max(least, budget / 2));
        return submission.deadline() - Math.min(needed, budget - TRANSPORT_NANOS) - TRANSPORT_NANOS;
    }

    // -- refusal

    /** Finds the reason to refuse a submission that cannot be finished in time. */
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
            longest = Math.max(longest, runTime.typical());
            latestStart = Math.min(latestStart, latestStart(nowNanos, submission, runTime));
        }
        Optional<Problem> refusal = neverFits(submission, pool, work, longest);
        return refusal.isPresent() ? refusal : overload(nowNanos, submission, pool, work, latestStart);
    }

    private static Optional<Problem> neverFits(Submission submission, ServicePool pool, long work, long longest) {
        long budget = submission.deadline() - submission.startedAt();
        long least = Math.max(longest, work / Math.max(1, pool.slotsInService()));
        if (least <= budget) {
            return Optional.empty();
        }
        String detail = "tasks=" + submission.size() + " need about " + millis(least) + " ms on all "
                + pool.slotsInService() + " slots; the timeout is " + millis(budget) + " ms";
        return Optional.of(Problem.of(ProblemKind.NEVER_FITS, detail));
    }

    private Optional<Problem> overload(
            long nowNanos, Submission submission, ServicePool pool, long work, long latestStart) {
        int weight = control.weightOf(submission.customer());
        long ahead = pool.queue().workAhead(nowNanos, submission.customer(), weight, latestStart);
        int tasks = submission.size();
        long lastStart = lastStart(nowNanos, tasks, work, ahead, pool.capacity(nowNanos));
        if (lastStart <= latestStart || lastStart(nowNanos, tasks, work, ahead, slotsAtHand(pool)) <= latestStart) {
            return Optional.empty();
        }
        String detail = "queued=" + pool.queue().size() + "; the last task would start "
                + millis(lastStart - latestStart) + " ms too late";
        return Optional.of(Problem.of(ProblemKind.OVERLOADED, detail, retryAfter(lastStart - latestStart)));
    }

    /** Counts the slots at hand, in time proportional to the workers: for submissions about to be refused only. */
    private static int slotsAtHand(ServicePool pool) {
        return Math.max(1, pool.slotsAtHand());
    }

    /** Estimates when the last task starts: after what is ahead, and after as many rounds as the tasks need slots. */
    private static long lastStart(long nowNanos, int tasks, long work, long ahead, double slots) {
        long rounds = (long) ((tasks - 1) / slots);
        return nowNanos + (long) (ahead / slots) + rounds * (work / tasks);
    }

    /** Returns a wait after which the queue will have shrunk by the given time, spread out at random. */
    Duration retryAfter(long excessNanos) {
        long bounded = Math.max(LEAST_RETRY_NANOS, Math.min(GREATEST_RETRY_NANOS, excessNanos));
        return Duration.ofNanos(
                (long) (bounded * (1 + RETRY_SPREAD * control.random().nextDouble())));
    }

    /** Returns a wait computed from the work that is queued now. */
    Duration retryAfter(long nowNanos, ServicePool pool) {
        return retryAfter((long) (pool.queue().totalWork() / pool.capacity(nowNanos)));
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
