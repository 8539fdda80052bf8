package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.dispatch.Submission;
import org.teaselhook.core.dispatch.TaskRequest;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.KindRule;
import org.teaselhook.core.rules.LimitKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.node.caller.SubmissionRequest;
import org.teaselhook.node.caller.TaskBody;

/**
 * Checks submissions against the rules.
 */
final class AdmissionCheck {

    private AdmissionCheck() {}

    /** Returns the problem for which the rules refuse a submission; empty if they admit it. */
    static Optional<Problem> refusal(Rules rules, SubmissionRequest request) {
        if (!rules.hasService(request.service())) {
            return problem(ProblemKind.UNKNOWN_SERVICE, "no rule defines the service " + request.service());
        }
        OptionalLong maxTasks = rules.limit(LimitKind.JOB_TASKS);
        if (maxTasks.isPresent() && request.tasks().size() > maxTasks.getAsLong()) {
            return problem(ProblemKind.TOO_LARGE, "the rules allow at most " + maxTasks.getAsLong() + " tasks per job");
        }
        return request.tasks().stream()
                .map(task -> taskRefusal(rules, request.service(), task))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<Problem> taskRefusal(Rules rules, String service, TaskBody task) {
        if (rules.kind(service, task.kind()).isEmpty()) {
            return problem(
                    ProblemKind.UNKNOWN_KIND, "no rule defines the kind " + task.kind() + " of the service " + service);
        }
        OptionalLong maxBytes = rules.limit(LimitKind.BODY_BYTES);
        if (maxBytes.isPresent() && task.body().length > maxBytes.getAsLong()) {
            return problem(
                    ProblemKind.TOO_LARGE, "the rules allow at most " + maxBytes.getAsLong() + " bytes per body");
        }
        return Optional.empty();
    }

    private static Optional<Problem> problem(ProblemKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }

    /** Tells whether a submission is a single idempotent request, which needs no claim. */
    static boolean needsNoClaim(Rules rules, SubmissionRequest request) {
        return !request.job()
                && rules.kind(request.service(), request.tasks().get(0).kind())
                        .filter(KindRule::idempotent)
                        .isPresent();
    }

    /** Returns the caller's timeout: the requested one, limited to the longest timeout of the tasks' kinds. */
    static long timeoutNanos(Rules rules, SubmissionRequest request) {
        long allowedMillis = request.tasks().stream()
                .map(task -> rules.kind(request.service(), task.kind()))
                .flatMap(Optional::stream)
                .mapToLong(rule -> rule.timeout().toMillis())
                .max()
                .orElse(0);
        long requestedMillis = request.timeoutMillis().orElse(allowedMillis);
        return TimeUnit.MILLISECONDS.toNanos(Math.min(requestedMillis, allowedMillis));
    }

    /** Converts an admitted request to a submission for the dispatcher. */
    static Submission submission(String id, Rules rules, SubmissionRequest request, long nowNanos) {
        Objects.requireNonNull(rules, "rules is null");
        List<TaskRequest> tasks = new ArrayList<>(request.tasks().size());
        for (TaskBody task : request.tasks()) {
            KindRule rule = rules.kind(request.service(), task.kind()).orElseThrow();
            tasks.add(TaskRequest.of(
                    task.kind(),
                    task.contentType(),
                    task.body(),
                    rule.idempotent(),
                    rule.declaredRunTime().toNanos()));
        }
        return new Submission(
                id,
                request.service(),
                request.customer(),
                tasks,
                nowNanos,
                nowNanos + timeoutNanos(rules, request),
                !needsNoClaim(rules, request));
    }
}
