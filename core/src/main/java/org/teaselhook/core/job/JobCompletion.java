package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Ends jobs: removes them from the active ones, stops their runs and sends their final answers.
 */
final class JobCompletion {

    private final ActiveJobs jobs;
    private final JobOutput output;
    private final RecentResults recent = new RecentResults();
    private final RecentIds mayHaveRun = RecentIds.empty();
    private final OrderHistory history = new OrderHistory();

    JobCompletion(ActiveJobs jobs, JobOutput output) {
        this.jobs = jobs;
        this.output = output;
    }

    /** Returns the result of a job that has recently completed or failed. */
    Optional<JobResult> recent(String jobId) {
        return recent.find(jobId);
    }

    /** Returns the ended orders of tasks. */
    OrderHistory history() {
        return history;
    }

    /** Whether a job of this id ended here without completing, and may have run. */
    boolean mayHaveRun(String jobId) {
        return mayHaveRun.contains(jobId);
    }

    /** Gives up a job; its result is {@code NotRun} only if none of its tasks may have run. */
    void giveUp(long nowNanos, ActiveJob active, String detail) {
        JobResult result = active.mayHaveRun()
                ? new JobResult.GivenUp(detail)
                : new JobResult.NotRun(Problem.of(ProblemKind.OVERLOADED, detail));
        abort(nowNanos, active, detail, result);
    }

    /** Ends a job that is not complete, and logs the reason. */
    void abort(long nowNanos, ActiveJob active, String detail, JobResult result) {
        output.reportDecision(JobDecision.Kind.GIVEN_UP, active.job().id(), "", active.endInputs(nowNanos, detail));
        answer(nowNanos, active, result);
    }

    /** Ends a job and sends its answer. */
    void answer(long nowNanos, ActiveJob active, JobResult result) {
        recent.put(active.job().id(), result);
        JobResult corrected = accountForEarlierCopies(active, result);
        remove(active);
        output.answer(nowNanos, active.job(), corrected);
    }

    /** Corrects a result that says {@code NotRun} if an earlier copy of the job may have run. */
    JobResult accountForEarlierCopies(ActiveJob active, JobResult result) {
        return result instanceof JobResult.NotRun notRun
                        && mayHaveRun.contains(active.job().id())
                ? new JobResult.GivenUp("an earlier copy may have run; this one: "
                        + notRun.problem().detail())
                : result;
    }

    /** Removes a job without an answer and stops its runs. */
    void remove(ActiveJob active) {
        jobs.remove(active);
        if (!active.isDone()) {
            history.jobEnded(active);
        }
        if (active.mayHaveRun()) {
            mayHaveRun.add(active.job().id());
        }
        active.tasks().stream()
                .flatMap(task -> task.placement().stream())
                .forEach(p -> output.stop(p.worker().agent(), p.number()));
    }
}
