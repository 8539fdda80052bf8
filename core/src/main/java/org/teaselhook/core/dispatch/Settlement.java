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
 * Answers submissions, each exactly once. Holds those not yet answered.
 */
final class Settlement {

    private final Control control;
    private final Intake intake;
    private final Map<String, ActiveSubmission> submissions = new LinkedHashMap<>();
    private final TaskRemoval removal;

    /** Takes a task of an answered submission out of the queue and off the workers. */
    @FunctionalInterface
    interface TaskRemoval {
        void remove(ActiveTask task);
    }

    Settlement(Control control, Intake intake, TaskRemoval removal) {
        this.control = control;
        this.intake = intake;
        this.removal = removal;
    }

    // -- accessors

    int size() {
        return submissions.size();
    }

    Optional<ActiveSubmission> find(String id) {
        return Optional.ofNullable(submissions.get(id));
    }

    Collection<ActiveSubmission> all() {
        return new ArrayList<>(submissions.values());
    }

    // -- opening

    ActiveSubmission open(Submission submission, ServicePool pool) {
        Invariant.SUBMISSION_REUSED.check(!submissions.containsKey(submission.id()), submission.id());
        ActiveSubmission active = new ActiveSubmission(submission, pool);
        submissions.put(submission.id(), active);
        intake.count(submission.customer(), submission.size());
        active.expireBy(control.timers().timer(now -> expire(now, active)));
        return active;
    }

    // -- answers

    void refuse(long nowNanos, Submission submission, Problem problem, int queued) {
        control.counters().notRun++;
        control.decidedOnSubmission(nowNanos, DecisionKind.REFUSED, reasonOf(problem), submission, queued);
        control.output().answered(submission.id(), Outcome.notRun(problem));
    }

    void complete(ActiveSubmission active) {
        control.counters().complete++;
        close(active);
        control.output().answered(active.submission().id(), Outcome.complete(active.answers()));
    }

    /** Takes a result that came after its submission was given up. */
    void completeLate(ActiveTask task, TaskStatus status, Answer answer) {
        ActiveSubmission given = task.submission();
        if (status == TaskStatus.COMPLETE && given.completeLate(task, answer)) {
            control.output().completedLate(given.submission().id(), Outcome.complete(given.answers()));
        }
    }

    /** Gives a submission up: what waits is dropped, what is in progress is cancelled, and the caller is answered. */
    void fail(long nowNanos, ActiveSubmission active, DecisionKind kind, Problem problem) {
        if (active.isAnswered()) {
            return;
        }
        boolean mayHaveRun = active.mayHaveRun();
        close(active);
        List<ActiveTask> unfinished =
                active.tasks().stream().filter(task -> !task.isDone()).toList();
        unfinished.forEach(ActiveTask::done);
        unfinished.forEach(removal::remove);
        countFailure(mayHaveRun);
        int queued = active.pool().queue().size();
        control.decidedOnSubmission(nowNanos, kind, reasonOf(problem), active.submission(), queued);
        Outcome outcome = mayHaveRun ? Outcome.mayHaveRun(withoutWait(problem)) : Outcome.notRun(problem);
        control.output().answered(active.submission().id(), outcome);
    }

    private void expire(long nowNanos, ActiveSubmission active) {
        Problem problem = Problem.of(ProblemKind.TIMED_OUT, "unfinished=" + active.unfinished());
        fail(nowNanos, active, DecisionKind.FAILED, problem);
    }

    private void close(ActiveSubmission active) {
        active.answered();
        submissions.remove(active.submission().id());
        intake.count(active.submission().customer(), -active.submission().size());
    }

    private void countFailure(boolean mayHaveRun) {
        if (mayHaveRun) {
            control.counters().mayHaveRun++;
        } else {
            control.counters().notRun++;
        }
    }

    private static Problem withoutWait(Problem problem) {
        return Problem.of(problem.kind(), problem.detail(), Duration.ZERO);
    }

    private static String reasonOf(Problem problem) {
        return problem.kind().name() + ": " + problem.detail();
    }
}
