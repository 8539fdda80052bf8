package org.teaselhook.standin.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * How a target treats the tasks that it gets.
 *
 * <pre>{@code
 * TargetBehaviour.of(RunTime.uniform(50, 1_000)).failing(0.01).slowedBy(3);
 * }</pre>
 *
 * @param runTime the run time of kinds without one of their own
 * @param runTimeByKind run times by kind
 * @param failureShare the share of tasks that run and then fail, from 0 to 1
 * @param silenceShare the share of tasks that are started and never answered, from 0 to 1
 * @param failsAtOnce whether every task fails without running
 * @param slowFactor multiplies every run time
 * @param honoursStartBy whether a task that arrives past its start-by time is refused
 * @param answersAttempt whether the answer is the body, a line feed and the attempt, in place of the body alone
 */
public record TargetBehaviour(
        RunTime runTime,
        Map<String, RunTime> runTimeByKind,
        double failureShare,
        double silenceShare,
        boolean failsAtOnce,
        double slowFactor,
        boolean honoursStartBy,
        boolean answersAttempt) {

    /** Copies the map. */
    public TargetBehaviour {
        Objects.requireNonNull(runTime, "runTime is null");
        runTimeByKind = Map.copyOf(runTimeByKind);
    }

    // -- factories

    /**
     * Returns the behaviour of a sound target.
     *
     * @param runTime the run time of every kind
     * @return the behaviour
     */
    public static TargetBehaviour of(RunTime runTime) {
        return new TargetBehaviour(runTime, Map.of(), 0, 0, false, 1, true, false);
    }

    // -- transformations

    /**
     * Sets the run time of one kind.
     *
     * @param kind the kind's name
     * @param time its run time
     * @return a new behaviour
     */
    public TargetBehaviour with(String kind, RunTime time) {
        Map<String, RunTime> times = new HashMap<>(runTimeByKind);
        times.put(kind, time);
        return new TargetBehaviour(
                runTime, times, failureShare, silenceShare, failsAtOnce, slowFactor, honoursStartBy, answersAttempt);
    }

    /**
     * Sets the share of tasks that run and then fail.
     *
     * @param share the share, from 0 to 1
     * @return a new behaviour
     */
    public TargetBehaviour failing(double share) {
        return new TargetBehaviour(
                runTime, runTimeByKind, share, silenceShare, failsAtOnce, slowFactor, honoursStartBy, answersAttempt);
    }

    /**
     * Sets the share of tasks that are never answered.
     *
     * @param share the share, from 0 to 1
     * @return a new behaviour
     */
    public TargetBehaviour silent(double share) {
        return new TargetBehaviour(
                runTime, runTimeByKind, failureShare, share, failsAtOnce, slowFactor, honoursStartBy, answersAttempt);
    }

    /**
     * Says whether every task fails without running.
     *
     * @param fails true to fail every task
     * @return a new behaviour
     */
    public TargetBehaviour failingAtOnce(boolean fails) {
        return new TargetBehaviour(
                runTime, runTimeByKind, failureShare, silenceShare, fails, slowFactor, honoursStartBy, answersAttempt);
    }

    /**
     * Sets the factor of run times.
     *
     * @param factor the factor, 1 for a sound target
     * @return a new behaviour
     */
    public TargetBehaviour slowedBy(double factor) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                silenceShare,
                failsAtOnce,
                factor,
                honoursStartBy,
                answersAttempt);
    }

    /**
     * Says whether start-by times are checked.
     *
     * @param honours true to refuse tasks past their start-by time
     * @return a new behaviour
     */
    public TargetBehaviour honouringStartBy(boolean honours) {
        return new TargetBehaviour(
                runTime, runTimeByKind, failureShare, silenceShare, failsAtOnce, slowFactor, honours, answersAttempt);
    }

    /**
     * Says whether the answer names the attempt.
     *
     * @param answers true to answer the body, a line feed and the attempt
     * @return a new behaviour
     */
    public TargetBehaviour answeringAttempt(boolean answers) {
        return new TargetBehaviour(
                runTime, runTimeByKind, failureShare, silenceShare, failsAtOnce, slowFactor, honoursStartBy, answers);
    }

    RunTime runTimeOf(String kind) {
        return runTimeByKind.getOrDefault(kind, runTime).times(slowFactor);
    }
}
