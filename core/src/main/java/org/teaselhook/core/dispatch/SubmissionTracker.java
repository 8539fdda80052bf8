package org.teaselhook.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Holds the submissions in progress and answers each exactly once.
 */
final class SubmissionTracker {

    private final DispatchContext context;
    private final AdmissionControl admission;
    private final Map<String, ActiveSubmission> submissions = new LinkedHashMap<>();
    private final TaskRemoval taskRemoval;

    /** Removes a task of an answered submission from the queue and cancels its orders. */
    @FunctionalInterface
    interface TaskRemoval {
        void remove(ActiveTask task);
    }

    SubmissionTracker(DispatchContext context, AdmissionControl admission, TaskRemoval taskRemoval) {
        this.context = context;
        this.admission = admission;
        this.taskRemoval = taskRemoval;
    }

    // -- accessors

    int size() {
        return submissions.size();
    }

    Optional<ActiveSubmission> find(String id) {
        return Optional.ofNullable(submissions.get(id));
    }

    Collection<ActiveSubmission> snapshot() {
        return new ArrayList<>(submissions.values());
    }

    // -- registration

    ActiveSubmission register(Submission submission, ServicePool pool) {
        Invariant.SUBMISSION_REUSED.check(!submissions.containsKey(submission.id()), submission.id());
        ActiveSubmission active = new ActiveSubmission(submission, pool);
        submissions.put(submission.id(), active);
        admission.adjustUnfinished(submission.customer(), submission.size());
        active.startDeadlineTimer(context.timers().timer(now -> expire(now, active)));
        return active;
    }

    // -- answers

    void refuse(long nowNanos, Submission submission, Problem problem, int queued) {
        context.counters().notRun++;
        context.recordSubmissionDecision(nowNanos, DecisionKind.REFUSED, reasonOf(problem), submission, queued);
        context.output().submissionAnswered(submission.id(), Outcome.notRun(problem));
    }

    void complete(ActiveSubmission active) {
        context.counters().complete++;
        close(active);
        context.output().submissionAnswered(active.submission().id(), Outcome.complete(active.answers()));
    }

    /** Handles a result that arrived after its submission was answered. */
    void completeLate(ActiveTask task, TaskStatus status, Answer answer) {
        ActiveSubmission active = task.submission();
        if (status == TaskStatus.COMPLETE && active.completeLate(task, answer)) {
            context.output().submissionCompletedLate(active.submission().id(), Outcome.complete(active.answers()));
        }
    }

    /** Fails a submission: drops its queued tasks, cancels its orders in progress, and answers the caller. */
    void fail(long nowNanos, ActiveSubmission active, DecisionKind kind, Problem problem) {
        if (active.isAnswered()) {
            return;
        }
        boolean mayHaveRun = active.mayHaveRun();
        close(active);
        List<ActiveTask> unfinished =
                active.tasks().stream().filter(task -> !task.isDone()).toList();
        unfinished.forEach(ActiveTask::markDone);
        unfinished.forEach(taskRemoval::remove);
        countFailure(mayHaveRun);
        int queued = active.pool().queue().size();
        context.recordSubmissionDecision(nowNanos, kind, reasonOf(problem), active.submission(), queued);
        Outcome outcome = mayHaveRun ? Outcome.mayHaveRun(withoutRetryAfter(problem)) : Outcome.notRun(problem);
        context.output().submissionAnswered(active.submission().id(), outcome);
    }

    private void expire(long nowNanos, ActiveSubmission active) {
        Problem problem = Problem.of(ProblemKind.TIMED_OUT, "unfinished=" + active.unfinished());
        fail(nowNanos, active, DecisionKind.FAILED, problem);
    }

    private void close(ActiveSubmission active) {
        active.markAnswered();
        submissions.remove(active.submission().id());
        admission.adjustUnfinished(
                active.submission().customer(), -active.submission().size());
    }

    private void countFailure(boolean mayHaveRun) {
        if (mayHaveRun) {
            context.counters().mayHaveRun++;
        } else {
            context.counters().notRun++;
        }
    }

    private static Problem withoutRetryAfter(Problem problem) {
        return Problem.of(problem.kind(), problem.detail(), Duration.ZERO);
    }

    private static String reasonOf(Problem problem) {
        return problem.kind().name() + ": " + problem.detail();
    }
}
