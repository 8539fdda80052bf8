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
     * Draws the run time of a given task.
     *
     * @param body the task's body, which some distributions evaluate
     * @param random the source of randomness
     * @return the run time in milliseconds, not negative
     */
    default double sampleMillisFor(byte[] body, RandomGenerator random) {
        return sampleMillis(random);
    }

    // -- factories

    /**
     * Returns a constant run time.
     *
     * @param millis the run time in milliseconds
     * @return the distribution
     */
    static RunTime fixed(double millis) {
        return random -> millis;
    }

    /**
     * Returns uniformly distributed run times.
     *
     * @param fromMillis the shortest, in milliseconds
     * @param toMillis the longest, in milliseconds
     * @return the distribution
     */
    static RunTime uniform(double fromMillis, double toMillis) {
        return random -> fromMillis + random.nextDouble() * (toMillis - fromMillis);
    }

    /**
     * Returns log-uniformly distributed run times, of which short ones are more frequent.
     *
     * @param fromMillis the shortest, in milliseconds, above 0
     * @param toMillis the longest, in milliseconds
     * @return the distribution
     */
    static RunTime logUniform(double fromMillis, double toMillis) {
        return random -> fromMillis * Math.pow(toMillis / fromMillis, random.nextDouble());
    }

    /**
     * Returns run times taken from the task body, which starts with a number of milliseconds and a space.
     *
     * @param fallback the distribution for bodies without such a number
     * @return the distribution
     */
    static RunTime fromBody(RunTime fallback) {
        return new BodyRunTime(fallback, 1);
    }

    // -- transformations

    /**
     * Draws from another distribution in a share of the cases.
     *
     * @param share the share, from 0 to 1
     * @param other the other distribution
     * @return the mixed distribution
     */
    default RunTime mixedWith(double share, RunTime other) {
        Objects.requireNonNull(other, "other is null");
        return random -> random.nextDouble() < share ? other.sampleMillis(random) : sampleMillis(random);
    }

    /**
     * Multiplies every run time.
     *
     * @param factor the factor
     * @return the scaled distribution
     */
    default RunTime scaledBy(double factor) {
        return random -> factor * sampleMillis(random);
    }
}
