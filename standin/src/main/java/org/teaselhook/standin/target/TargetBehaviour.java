package org.teaselhook.standin.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * How a target processes its tasks: run times and injected faults.
 *
 * <pre>{@code
 * TargetBehaviour.of(RunTime.uniform(50, 1_000)).failing(0.01).slowedBy(3);
 * }</pre>
 *
 * @param runTime the default run time
 * @param runTimeByKind run times by kind
 * @param failureShare the share of tasks that fail after their run time, from 0 to 1
 * @param unansweredShare the share of tasks that are started but never answered, from 0 to 1
 * @param failsImmediately whether every task fails immediately
 * @param slowFactor the factor applied to every run time
 * @param checksStartBy whether a task that arrives past its start-by time is refused
 * @param returnsAttempt whether the answer is the body, a line feed and the attempt, in place of the body alone
 */
public record TargetBehaviour(
        RunTime runTime,
        Map<String, RunTime> runTimeByKind,
        double failureShare,
        double unansweredShare,
        boolean failsImmediately,
        double slowFactor,
        boolean checksStartBy,
        boolean returnsAttempt) {

    /** Copies the map. */
    public TargetBehaviour {
        Objects.requireNonNull(runTime, "runTime is null");
        runTimeByKind = Map.copyOf(runTimeByKind);
    }

    // -- factories

    /**
     * Returns the behaviour of a healthy target.
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
                runTime,
                times,
                failureShare,
                unansweredShare,
                failsImmediately,
                slowFactor,
                checksStartBy,
                returnsAttempt);
    }

    /**
     * Sets the share of tasks that fail after their run time.
     *
     * @param share the share, from 0 to 1
     * @return a new behaviour
     */
    public TargetBehaviour failing(double share) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                share,
                unansweredShare,
                failsImmediately,
                slowFactor,
                checksStartBy,
                returnsAttempt);
    }

    /**
     * Sets the share of tasks that are never answered.
     *
     * @param share the share, from 0 to 1
     * @return a new behaviour
     */
    public TargetBehaviour unresponsive(double share) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                share,
                failsImmediately,
                slowFactor,
                checksStartBy,
                returnsAttempt);
    }

    /**
     * Sets whether every task fails immediately.
     *
     * @param fails true to fail every task immediately
     * @return a new behaviour
     */
    public TargetBehaviour failingImmediately(boolean fails) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                unansweredShare,
                fails,
                slowFactor,
                checksStartBy,
                returnsAttempt);
    }

    /**
     * Sets the factor applied to every run time.
     *
     * @param factor the factor, 1 for a healthy target
     * @return a new behaviour
     */
    public TargetBehaviour slowedBy(double factor) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                unansweredShare,
                failsImmediately,
                factor,
                checksStartBy,
                returnsAttempt);
    }

    /**
     * Sets whether tasks past their start-by time are refused.
     *
     * @param enabled true to refuse them
     * @return a new behaviour
     */
    public TargetBehaviour checkingStartBy(boolean enabled) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                unansweredShare,
                failsImmediately,
                slowFactor,
                enabled,
                returnsAttempt);
    }

    /**
     * Sets whether the answer includes the attempt.
     *
     * @param enabled true to answer the body, a line feed and the attempt
     * @return a new behaviour
     */
    public TargetBehaviour returningAttempt(boolean enabled) {
        return new TargetBehaviour(
                runTime,
                runTimeByKind,
                failureShare,
                unansweredShare,
                failsImmediately,
                slowFactor,
                checksStartBy,
                enabled);
    }

    RunTime runTimeOf(String kind) {
        return runTimeByKind.getOrDefault(kind, runTime).scaledBy(slowFactor);
    }
}
