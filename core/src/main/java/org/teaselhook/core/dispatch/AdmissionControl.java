package org.teaselhook.core.dispatch;

import java.util.Optional;

import org.agrona.collections.Object2IntHashMap;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Decides whether a submission is admitted. Holds the number of unfinished tasks per customer.
 */
final class AdmissionControl {

    private final DispatchContext context;
    private final WorkerRegistry registry;
    private final CompletionForecast forecast;
    private final Object2IntHashMap<String> unfinishedTasks = new Object2IntHashMap<>(0);

    AdmissionControl(DispatchContext context, WorkerRegistry registry, CompletionForecast forecast) {
        this.context = context;
        this.registry = registry;
        this.forecast = forecast;
    }

    // -- quota

    void adjustUnfinished(String customer, int change) {
        int total = unfinishedTasks.getValue(customer) + change;
        if (total == 0) {
            unfinishedTasks.removeKey(customer);
        } else {
            unfinishedTasks.put(customer, total);
        }
    }

    // -- decision

    Optional<Problem> refusal(long nowNanos, Submission submission) {
        if (context.isStopping()) {
            return problem(ProblemKind.STOPPING, "the entry is stopping and admits no new work");
        }
        if (!context.isServing()) {
            return problem(ProblemKind.NOT_READY, "the configuration is not recent");
        }
        if (nowNanos >= submission.deadline()) {
            return problem(ProblemKind.TIMED_OUT, "the deadline had passed on arrival");
        }
        Optional<ServicePool> pool = registry.findPool(submission.service()).filter(p -> p.membersInService() > 0);
        if (pool.isEmpty()) {
            return problem(ProblemKind.NO_WORKER, "service=" + submission.service());
        }
        Optional<Problem> quota = quotaRefusal(nowNanos, submission, pool.get());
        return quota.isPresent() ? quota : forecast.refusal(nowNanos, submission, pool.get());
    }

    private Optional<Problem> quotaRefusal(long nowNanos, Submission submission, ServicePool pool) {
        int limit = context.maxTasksOf(submission.customer());
        int inProgress = unfinishedTasks.getValue(submission.customer());
        if (submission.size() > limit) {
            return problem(ProblemKind.NEVER_FITS, "tasks=" + submission.size() + " exceed the quota of " + limit);
        }
        if (inProgress + submission.size() <= limit) {
            return Optional.empty();
        }
        String detail = "tasks=" + inProgress + " of " + limit + " are in progress";
        return Optional.of(Problem.of(ProblemKind.QUOTA_EXCEEDED, detail, forecast.retryAfter(nowNanos, pool)));
    }

    private static Optional<Problem> problem(ProblemKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }
}
