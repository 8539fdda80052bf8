package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Takes jobs out of the line, stops what runs of them, and gives them their final answer.
 */
final class JobEnds {

    private final ActiveJobs jobs;
    private final JobOutput output;
    private final RecentResults recent = new RecentResults();
    private final RecentIds mayHaveRun = RecentIds.none();

    JobEnds(ActiveJobs jobs, JobOutput output) {
        this.jobs = jobs;
        this.output = output;
    }

    /** Returns the answer of a job that has ended lately. */
    Optional<JobResult> recent(String jobId) {
        return recent.find(jobId);
    }

    /** Gives a job up; it is said not to have run only if no task was ever ordered. */
    void giveUp(long nowNanos, ActiveJob active, String detail) {
        JobResult result = active.mayHaveRun()
                ? new JobResult.GivenUp(detail)
                : new JobResult.NotRun(Problem.of(ProblemKind.OVERLOADED, detail));
        end(nowNanos, active, detail, result);
    }

    /** Ends a job for a reason that is logged. */
    void end(long nowNanos, ActiveJob active, String detail, JobResult result) {
        output.decided(JobDecision.Kind.GIVEN_UP, active.job().id(), "", "reason", detail);
        finish(nowNanos, active, result);
    }

    /** Answers a job. */
    void finish(long nowNanos, ActiveJob active, JobResult result) {
        recent.keep(active.job().id(), result);
        JobResult truth = truthOf(active, result);
        remove(active);
        output.answered(nowNanos, active.job(), truth);
    }

    /** Returns the answer of a job, considering earlier copies of it: what they ran was not undone by their ends. */
    JobResult truthOf(ActiveJob active, JobResult result) {
        return result instanceof JobResult.NotRun notRun
                        && mayHaveRun.contains(active.job().id())
                ? new JobResult.GivenUp("an earlier copy may have run; this one: "
                        + notRun.problem().detail())
                : result;
    }

    /** Takes a job out without an answer, as its caller has gone. */
    void remove(ActiveJob active) {
        jobs.remove(active);
        if (active.mayHaveRun()) {
            mayHaveRun.add(active.job().id());
        }
        active.tasks().stream()
                .flatMap(task -> task.placement().stream())
                .forEach(p -> output.stop(p.worker().agent(), p.number()));
    }
}
