package org.teaselhook.core.dispatch;

import java.util.Optional;

import org.agrona.collections.Object2IntHashMap;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Decides whether a submission is taken. Holds the number of unfinished tasks per customer.
 */
final class Intake {

    private final Control control;
    private final Fleet fleet;
    private final Forecast forecast;
    private final Object2IntHashMap<String> unfinished = new Object2IntHashMap<>(0);

    Intake(Control control, Fleet fleet, Forecast forecast) {
        this.control = control;
        this.fleet = fleet;
        this.forecast = forecast;
    }

    // -- quota

    void count(String customer, int change) {
        int sum = unfinished.getValue(customer) + change;
        if (sum == 0) {
            unfinished.removeKey(customer);
        } else {
            unfinished.put(customer, sum);
        }
    }

    // -- decision

    Optional<Problem> refusal(long nowNanos, Submission submission) {
        if (control.isStopping()) {
            return problem(ProblemKind.STOPPING, "no new work is taken");
        }
        if (!control.isServing()) {
            return problem(ProblemKind.NOT_READY, "the configuration is not recent");
        }
        if (nowNanos >= submission.deadline()) {
            return problem(ProblemKind.TIMED_OUT, "the time had run out on arrival");
        }
        Optional<ServicePool> pool = fleet.findPool(submission.service()).filter(p -> p.membersInService() > 0);
        if (pool.isEmpty()) {
            return problem(ProblemKind.NO_WORKER, "service=" + submission.service());
        }
        Optional<Problem> quota = quota(nowNanos, submission, pool.get());
        return quota.isPresent() ? quota : forecast.refusal(nowNanos, submission, pool.get());
    }

    private Optional<Problem> quota(long nowNanos, Submission submission, ServicePool pool) {
        int limit = control.maxTasksOf(submission.customer());
        int present = unfinished.getValue(submission.customer());
        if (submission.size() > limit) {
            return problem(ProblemKind.NEVER_FITS, "tasks=" + submission.size() + " exceed the quota of " + limit);
        }
        if (present + submission.size() <= limit) {
            return Optional.empty();
        }
        String detail = "tasks=" + present + " of " + limit + " are in progress";
        return Optional.of(Problem.of(ProblemKind.QUOTA_EXCEEDED, detail, forecast.retryAfter(nowNanos, pool)));
    }

    private static Optional<Problem> problem(ProblemKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }
}
