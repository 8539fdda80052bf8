package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.teaselhook.core.outcome.Answer;

/**
 * A submission in progress, with the answers of its completed tasks.
 */
final class ActiveSubmission {

    private final Submission submission;
    private final ServicePool pool;
    private final List<ActiveTask> tasks;
    private final Answer[] answers;
    private Timers.Timer deadlineTimer;
    private int unfinished;
    private boolean taskMayHaveRun;
    private boolean answered;

    ActiveSubmission(Submission submission, ServicePool pool) {
        this.submission = submission;
        this.pool = pool;
        this.tasks = new ArrayList<>(submission.size());
        this.answers = new Answer[submission.size()];
        this.unfinished = submission.size();
        for (int i = 0; i < submission.size(); i++) {
            tasks.add(new ActiveTask(this, i, submission.tasks().get(i)));
        }
    }

    // -- accessors

    Submission submission() {
        return submission;
    }

    ServicePool pool() {
        return pool;
    }

    List<ActiveTask> tasks() {
        return tasks;
    }

    int unfinished() {
        return unfinished;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Tells whether any task may have started. */
    boolean mayHaveRun() {
        return taskMayHaveRun
                || tasks.stream().anyMatch(task -> !task.attempts().isEmpty());
    }

    List<Answer> answers() {
        return Arrays.asList(answers);
    }

    // -- updates

    void startDeadlineTimer(Timers.Timer newTimer) {
        deadlineTimer = newTimer;
        deadlineTimer.set(submission.deadline());
    }

    void markMayHaveRun() {
        taskMayHaveRun = true;
    }

    void complete(ActiveTask task, Answer answer) {
        task.markDone();
        answers[task.index()] = answer;
        unfinished--;
    }

    /** Adds an answer after the submission was answered; returns true if all tasks are complete now. */
    boolean completeLate(ActiveTask task, Answer answer) {
        if (!answered || answers[task.index()] != null) {
            return false;
        }
        answers[task.index()] = answer;
        unfinished--;
        return unfinished == 0;
    }

    void markAnswered() {
        Invariant.ANSWERED_TWICE.check(!answered, submission.id());
        answered = true;
        deadlineTimer.clear();
    }
}
