package org.teaselhook.core.outcome;

import java.util.List;
import java.util.function.Function;

/**
 * The final outcome of a submission, which is one of three cases.
 *
 * <pre>{@code
 * int status = outcome.fold(complete -> 200, notRun -> notRun.problem().kind().httpStatus(), mayHaveRun -> 502);
 * }</pre>
 */
public sealed interface Outcome permits Outcome.Complete, Outcome.NotRun, Outcome.MayHaveRun {

    // -- factories

    /**
     * Returns the outcome of a submission whose tasks were all answered.
     *
     * @param answers one answer per task, in task order
     * @return the outcome
     */
    static Outcome complete(List<Answer> answers) {
        return new Complete(answers);
    }

    /**
     * Returns the outcome of a submission of which no task has started or will start.
     *
     * @param problem the reason
     * @return the outcome
     */
    static Outcome notRun(Problem problem) {
        return new NotRun(problem);
    }

    /**
     * Returns the outcome of a failed submission of which at least one task may have started.
     *
     * @param problem the reason
     * @return the outcome
     */
    static Outcome mayHaveRun(Problem problem) {
        return new MayHaveRun(problem);
    }

    // -- elimination

    /**
     * Applies the function for this outcome.
     *
     * @param <T> the result type
     * @param complete applied if every task was answered
     * @param notRun applied if no task has started
     * @param mayHaveRun applied if a task may have started
     * @return the function's result
     */
    default <T> T fold(
            Function<? super Complete, ? extends T> complete,
            Function<? super NotRun, ? extends T> notRun,
            Function<? super MayHaveRun, ? extends T> mayHaveRun) {
        if (this instanceof Complete c) {
            return complete.apply(c);
        }
        if (this instanceof NotRun n) {
            return notRun.apply(n);
        }
        return mayHaveRun.apply((MayHaveRun) this);
    }

    // -- cases

    /**
     * Every task was answered.
     *
     * @param answers one answer per task, in task order
     */
    record Complete(List<Answer> answers) implements Outcome {
        /** Copies the list. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * No task has started or will start.
     *
     * @param problem the reason
     */
    record NotRun(Problem problem) implements Outcome {}

    /**
     * The submission failed, and at least one task may have started.
     *
     * @param problem the reason
     */
    record MayHaveRun(Problem problem) implements Outcome {}
}
