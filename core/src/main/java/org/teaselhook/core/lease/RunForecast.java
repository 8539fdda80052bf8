package org.teaselhook.core.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A forecast of a run's total duration, extrapolated from its progress.
 *
 * @param elapsedMillis the elapsed time in milliseconds
 * @param totalMillis the expected total duration in milliseconds
 */
public record RunForecast(long elapsedMillis, long totalMillis) {

    /** The minimum elapsed time for a forecast, in ms: before that, start-up is too large a part of it. */
    private static final long MIN_ELAPSED_MILLIS = 40;

    private static final int ALL_PERCENT = 100;

    /**
     * Returns the forecast of a run.
     *
     * @param elapsedNanos the elapsed time in nanoseconds
     * @param percent the completed part of the work, from 0 to 100; 0 for a run that makes no progress
     * @return the forecast, or empty if too little time has elapsed
     */
    public static Optional<RunForecast> of(long elapsedNanos, int percent) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        if (elapsed < MIN_ELAPSED_MILLIS) {
            return Optional.empty();
        }
        // The percentage is rounded down, so half a percent is added as the expected rounding error.
        double done = Math.min(percent + 0.5, ALL_PERCENT);
        return Optional.of(new RunForecast(elapsed, Math.round(elapsed * ALL_PERCENT / done)));
    }
}
