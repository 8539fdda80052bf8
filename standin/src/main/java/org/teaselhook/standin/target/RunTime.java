package org.teaselhook.standin.target;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * A distribution of run times.
 */
@FunctionalInterface
public interface RunTime {

    /**
     * Draws a run time.
     *
     * @param random the source of randomness
     * @return the run time in milliseconds, not negative
     */
    double sampleMillis(RandomGenerator random);

    /**
     * Draws the run time of a task.
     *
     * @param body the task's body, which some distributions look at
     * @param random the source of randomness
     * @return the run time in milliseconds, not negative
     */
    default double millisOf(byte[] body, RandomGenerator random) {
        return sampleMillis(random);
    }

    // -- factories

    /**
     * Returns a run time that never varies.
     *
     * @param millis the run time
     * @return the distribution
     */
    static RunTime fixed(double millis) {
        return random -> millis;
    }

    /**
     * Returns run times spread evenly between two bounds.
     *
     * @param fromMillis the shortest
     * @param toMillis the longest
     * @return the distribution
     */
    static RunTime uniform(double fromMillis, double toMillis) {
        return random -> fromMillis + random.nextDouble() * (toMillis - fromMillis);
    }

    /**
     * Returns run times spread evenly on a logarithmic scale, so that short ones are more frequent.
     *
     * @param fromMillis the shortest, above 0
     * @param toMillis the longest
     * @return the distribution
     */
    static RunTime logUniform(double fromMillis, double toMillis) {
        return random -> fromMillis * Math.pow(toMillis / fromMillis, random.nextDouble());
    }

    /**
     * Returns run times that each task names itself: its body starts with a number of milliseconds and a space.
     *
     * @param otherwise the distribution for tasks that name none
     * @return the distribution
     */
    static RunTime inBody(RunTime otherwise) {
        return new BodyRunTime(otherwise, 1);
    }

    // -- transformations

    /**
     * Draws from another distribution in a share of the cases.
     *
     * @param share the share, from 0 to 1
     * @param other the other distribution
     * @return the mixed distribution
     */
    default RunTime mixed(double share, RunTime other) {
        Objects.requireNonNull(other, "other is null");
        return random -> random.nextDouble() < share ? other.sampleMillis(random) : sampleMillis(random);
    }

    /**
     * Multiplies every run time.
     *
     * @param factor the factor
     * @return the scaled distribution
     */
    default RunTime times(double factor) {
        return random -> factor * sampleMillis(random);
    }
}
