package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * How long a run probably takes in all, by its progress so far.
 *
 * @param elapsedMillis how long it has run
 * @param totalMillis how long it probably takes in all
 */
public record RunForecast(long elapsedMillis, long totalMillis) {

    /** A run younger than this says little: its start took a part of that time, in ms. */
    private static final long LEAST_MILLIS = 40;

    private static final int ALL_PERCENT = 100;

    /**
     * Works out a forecast.
     *
     * @param elapsedNanos how long it has run, in nanoseconds
     * @param percent how much of its work is done, from 0 to 100; a run that stands still has done none
     * @return the forecast, or empty if it is too early to say
     */
    public static Optional<RunForecast> of(long elapsedNanos, int percent) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        if (elapsed < LEAST_MILLIS) {
            return Optional.empty();
        }
        // Percents are whole numbers, rounded down: half of one is the best guess at the rest.
        double done = Math.min(percent + 0.5, ALL_PERCENT);
        return Optional.of(new RunForecast(elapsed, Math.round(elapsed * ALL_PERCENT / done)));
    }
}
